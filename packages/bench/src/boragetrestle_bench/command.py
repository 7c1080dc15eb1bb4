"""The command line of the benchmarks."""

import importlib
import pkgutil
import sys
import time
from pathlib import Path

import defopt
import msgspec
from rich.console import Console

import boragetrestle_bench
from boragetrestle_bench.capacity import work_out
from boragetrestle_bench.known_red import load_known_red
from boragetrestle_bench.page_template import fill_page
from boragetrestle_bench.policy_sets import CURRENT, POLICY_SETS
from boragetrestle_bench.registry import BENCHMARKS
from boragetrestle_bench.report import Report
from boragetrestle_bench.result import Result

_PAGE_MARK = '<!-- written by make bench -->\n'
_TABLE_COLUMNS = 200


def names(*, virtual: bool = False, policies: bool = False) -> None:
    """Print the names of benchmarks.

    :param virtual: only those on the virtual clock
    :param policies: only those that compare sets of policies
    """
    for bench in BENCHMARKS.values():
        is_left_out = (virtual and not bench.is_virtual) or (
            policies and not bench.has_policies
        )
        if not is_left_out:
            sys.stdout.write(f'{bench.name}\n')


def run(
    name: str,
    *,
    policies: str = CURRENT,
    out: Path | None = None,
) -> None:
    """Run one benchmark and write its result as JSON.

    :param name: name of the benchmark
    :param policies: current, baseline or earlier
    :param out: file for the result; standard output if left out
    """
    bench = BENCHMARKS[name]
    started_at = time.monotonic()
    figures = bench.measure(POLICY_SETS[policies], bench.seed)
    result = Result(
        benchmark=name,
        policies=policies,
        seed=bench.seed,
        figures=tuple(figures),
        is_virtual=bench.is_virtual,
        seconds=round(time.monotonic() - started_at, 1),
    )
    raw = msgspec.json.format(msgspec.json.encode(result))
    if out is None:
        sys.stdout.write(f'{raw.decode()}\n')
        return
    out.parent.mkdir(parents=True, exist_ok=True)
    out.write_bytes(raw)


def report(
    folder: Path,
    *,
    page: Path | None = None,
    known_red: Path = Path('KNOWN-RED.txt'),
    as_json: bool = False,
) -> None:
    """Print all results; exit with 1 if a bound is broken.

    :param folder: folder with the results of ``run``
    :param page: page whose table is replaced
    :param known_red: list of bounds that are known to be broken
    :param as_json: print JSON for programs
    """
    results = _load_results(folder)
    found = Report.of_results(results)
    if as_json:
        sys.stdout.write(f'{msgspec.json.encode(results).decode()}\n')
    else:
        Console(width=_TABLE_COLUMNS).print(found.table())
    if page is not None:
        head = page.read_text().partition(_PAGE_MARK)[0]
        page.write_text(f'{head}{_PAGE_MARK}\n{found.markdown()}\n')
    unlisted = found.unlisted(load_known_red(known_red))
    for row in found.broken():
        kind = 'broken bound' if row in unlisted else 'known red'
        sys.stdout.write(f'{kind}: {row.name}: seed {row.result.seed}\n')
    if unlisted:
        sys.exit(1)


def fill(template: Path, folder: Path, page: Path) -> None:
    """Fill the figures of results into a page.

    :param template: text with placeholders like {{benchmark: figure}}
    :param folder: folder with the results of ``run``
    :param page: page to write
    """
    results = _load_results(folder)
    results.append(work_out(results))
    page.write_text(fill_page(template.read_text(), results))


def _load_results(folder: Path) -> list[Result]:
    return [
        msgspec.json.decode(path.read_bytes(), type=Result)
        for path in sorted(folder.glob('*.json'))
    ]


def load_benchmarks() -> None:
    """Import every module of the package that registers benchmarks."""
    for module in pkgutil.iter_modules(boragetrestle_bench.__path__):
        if module.name.endswith('_bench'):
            importlib.import_module(f'boragetrestle_bench.{module.name}')


def main() -> None:
    """Run the command line."""
    load_benchmarks()
    defopt.run({'names': names, 'run': run, 'report': report, 'fill': fill})
