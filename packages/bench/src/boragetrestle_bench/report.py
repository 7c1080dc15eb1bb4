"""The table of all results, for people and as a page."""

from collections.abc import Collection, Iterable
from typing import NamedTuple, Self

from rich.table import Table

from boragetrestle_bench.figure import Figure
from boragetrestle_bench.policy_sets import BASELINE, CURRENT, EARLIER
from boragetrestle_bench.result import Result

_HEADINGS = (
    'benchmark', 'figure', 'seed', 'bound', 'from', 'now', BASELINE, EARLIER,
)  # fmt: skip


class ReportRow(NamedTuple):
    """A figure beside the same figure under other policies."""

    result: Result
    figure: Figure
    baseline: float | None
    earlier: float | None

    @property
    def name(self) -> str:
        """The name under which a broken bound is listed."""
        return f'{self.result.benchmark}: {self.figure.name}'

    def cells(self) -> list[str]:
        """Return the row as text."""
        figure = self.figure
        bound = ''
        if figure.bound is not None:
            bound = f'{figure.limit.value} {figure.bound:g}'
        mark = '' if figure.is_within else ' **broken**'
        return [
            self.result.benchmark,
            figure.name,
            str(self.result.seed),
            bound,
            figure.source,
            f'{figure.amount:.4g}{mark}',
            _number(self.baseline),
            _number(self.earlier),
        ]


class Report(NamedTuple):
    """All rows, in order of benchmark."""

    rows: tuple[ReportRow, ...]

    @classmethod
    def of_results(cls, results: Iterable[Result]) -> Self:
        """Join the results of the sets of policies."""
        found = list(results)
        amounts = {
            (res.policies, res.benchmark, fig.name): fig.amount
            for res in found
            for fig in res.figures
        }
        return cls(
            tuple(
                ReportRow(
                    res,
                    fig,
                    amounts.get((BASELINE, res.benchmark, fig.name)),
                    amounts.get((EARLIER, res.benchmark, fig.name)),
                )
                for res in sorted(found, key=lambda res: res.benchmark)
                if res.policies == CURRENT
                for fig in res.figures
            ),
        )

    def broken(self) -> list[ReportRow]:
        """Return rows whose figure breaks its bound."""
        return [row for row in self.rows if not row.figure.is_within]

    def unlisted(self, known_red: Collection[str]) -> list[ReportRow]:
        """Return broken rows that are not known to be so."""
        return [row for row in self.broken() if row.name not in known_red]

    def table(self) -> Table:
        """Return the table for a terminal."""
        table = Table(*_HEADINGS)
        for row in self.rows:
            table.add_row(*row.cells())
        return table

    def markdown(self) -> str:
        """Return the table as Markdown."""
        lines = [_line(_HEADINGS), _line('---' for _ in _HEADINGS)]
        lines.extend(_line(row.cells()) for row in self.rows)
        return '\n'.join(lines)


def _line(cells: Iterable[str]) -> str:
    return f'| {" | ".join(cells)} |'


def _number(amount: float | None) -> str:
    return '' if amount is None else f'{amount:.4g}'
