"""Print results for people, or as JSON for programs."""

import sys
from collections.abc import Iterable, Sequence
from typing import Any

import msgspec
from rich.console import Console
from rich.table import Table


def print_json(content: Any) -> None:
    """Print one JSON document on one line."""
    sys.stdout.write(f'{msgspec.json.encode(content).decode()}\n')


def print_table(
    title: str,
    columns: Sequence[str],
    rows: Iterable[Sequence[object]],
) -> None:
    """Print a table with a title."""
    table = Table(*columns, title=title, title_justify='left')
    for row in rows:
        table.add_row(*(str(cell) for cell in row))
    Console().print(table)


def print_line(line: str) -> None:
    """Print one line as it is."""
    Console(highlight=False, markup=False, soft_wrap=True).print(line)


def print_error(line: str) -> None:
    """Print one line to the standard error stream."""
    sys.stderr.write(f'boragetrestle: {line}\n')
