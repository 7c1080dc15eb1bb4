VENV := .venv
PY := $(VENV)/bin/python
PACKAGES := kernel platform node standin bench operate

.PHONY: setup test trial bench check format

$(VENV)/.ready: requirements.lock $(PACKAGES:%=packages/%/pyproject.toml)
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q --disable-pip-version-check -r requirements.lock
	$(VENV)/bin/pip install -q --disable-pip-version-check --no-deps --no-build-isolation $(PACKAGES:%=-e packages/%)
	touch $(VENV)/.ready

setup: $(VENV)/.ready

test: setup
	$(PY) -m pytest

trial: setup
	$(VENV)/bin/boragetrestle trial

bench: setup
	$(PY) -m boragetrestle_bench

format: setup
	$(VENV)/bin/ruff check --fix -q packages tests
	$(VENV)/bin/ruff format -q packages tests

check: setup
	$(VENV)/bin/ruff format --check packages tests
	$(VENV)/bin/ruff check packages tests
	$(VENV)/bin/flake8 packages tests
	$(VENV)/bin/mypy packages
	$(VENV)/bin/mypy --allow-untyped-defs --allow-untyped-calls tests
	$(VENV)/bin/lint-imports
