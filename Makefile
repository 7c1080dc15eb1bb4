export PYTHONHASHSEED := 0

VENV := .venv
PY := $(VENV)/bin/python
BENCH := $(PY) -m boragetrestle_bench
JOBS ?= 4
WORKERS ?= 4
PACKAGES := kernel platform node sidecar standin bench operate

.PHONY: setup test test-quick trial bench bench-check capacity check format

$(VENV)/.ready: requirements.lock $(PACKAGES:%=packages/%/pyproject.toml)
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q --disable-pip-version-check -r requirements.lock
	$(VENV)/bin/pip install -q --disable-pip-version-check --no-deps --no-build-isolation $(PACKAGES:%=-e packages/%)
	touch $(VENV)/.ready

setup: $(VENV)/.ready

# Tests on the virtual clock run beside each other; those that depend on real
# time run one at a time.
test: setup
	$(PY) -m pytest -m 'not processes and not loopback' -n $(WORKERS)
	$(PY) -m pytest -rs -m 'processes or loopback'

test-quick: setup
	$(PY) -m pytest -m 'not processes and not loopback' -n $(WORKERS)
	$(PY) -m pytest -m 'loopback and not processes'

trial: setup
	$(VENV)/bin/boragetrestle trial

# Virtual-clock benchmarks of the current policies; part of CI.
bench-check: setup
	rm -rf build/bench
	$(MAKE) -s -j$(JOBS) $$($(BENCH) names --virtual | sed 's,.*,build/bench/current.&.json,')
	$(BENCH) report build/bench

# All benchmarks beside the baseline and the earlier version.
bench: setup
	rm -rf build/bench
	$(MAKE) -s -j$(JOBS) \
		$$($(BENCH) names --virtual | sed 's,.*,build/bench/current.&.json,') \
		$$($(BENCH) names --policies | sed 's,.*,build/bench/baseline.&.json build/bench/earlier.&.json,')
	$(MAKE) -s -j1 $$($(BENCH) names | sed 's,.*,build/bench/current.&.json,')
	$(BENCH) report build/bench --page docs/BENCHMARKS.md

build/bench/%.json:
	$(BENCH) run $(subst $(firstword $(subst ., ,$*)).,,$*) --policies $(firstword $(subst ., ,$*)) --out $@

format: setup
	$(VENV)/bin/ruff check --fix -q packages platform tests
	$(VENV)/bin/ruff format -q packages platform tests

check: setup
	$(VENV)/bin/ruff format --check packages platform tests
	$(VENV)/bin/ruff check packages platform tests
	$(VENV)/bin/flake8 packages platform tests
	$(VENV)/bin/mypy packages platform/boragetrestle_deploy
	$(VENV)/bin/mypy --allow-untyped-defs --allow-untyped-calls tests
	$(VENV)/bin/lint-imports

CAPACITY := state-at-size footprint call-cost control spread claims-combining rates-even added-time-512-bytes-1-connections added-time-512-bytes-32-connections

# Measure the slopes and write docs/CAPACITY.md.
capacity: setup
	$(MAKE) -s -j1 $(CAPACITY:%=build/bench/current.%.json)
	$(BENCH) fill docs/CAPACITY.template.md build/bench docs/CAPACITY.md
