"""Measures and report of the benchmarks."""

from boragetrestle_bench.capacity import work_out
from boragetrestle_bench.demand import Demand
from boragetrestle_bench.figure import Figure, Limit
from boragetrestle_bench.measures import (
    goodput,
    recovery_seconds,
    worst_share,
)
from boragetrestle_bench.outcome import Outcome
from boragetrestle_bench.page_template import fill_page
from boragetrestle_bench.report import Report
from boragetrestle_bench.result import Result

_DEMAND = Demand('acacia', '/walks/items/7', rate=10, start=0, stop=20)


def _outcomes(*, gap: tuple[float, float]) -> list[Outcome]:
    """Build ten good calls a second for 20 s, without those of a gap."""
    times = [place / 10 for place in range(200)]
    return [
        Outcome(_DEMAND, at, at, 200, '', str(at))
        for at in times
        if not gap[0] <= at < gap[1]
    ]


def _result(figure: Figure, *, policies: str = 'current') -> Result:
    return Result(
        benchmark='example',
        policies=policies,
        seed=1,
        figures=(figure,),
        is_virtual=True,
        seconds=0,
    )


def test_goodput_counts_whole_answers_a_second():
    outcomes = _outcomes(gap=(0, 10))
    assert goodput(outcomes, 0, 20) == 5


def test_refused_calls_are_no_goodput():
    refused = Outcome(_DEMAND, 1, 1, 503, 'overloaded', 'c')
    assert goodput([refused], 0, 2) == 0


def test_recovery_ends_with_the_last_poor_window():
    outcomes = _outcomes(gap=(5, 8))
    seconds = recovery_seconds(outcomes, well_at=5, stop=20, required=9.5)
    assert 3 <= seconds <= 5


def test_run_that_never_recovers_gives_the_whole_time():
    outcomes = _outcomes(gap=(5, 20))
    seconds = recovery_seconds(outcomes, well_at=5, stop=20, required=9.5)
    assert seconds == 15


def test_worst_share_is_that_of_the_least_served():
    share = worst_share(
        _outcomes(gap=(0, 0)), 0, 20, fair={'acacia': 10, 'baobab': 5}
    )
    assert share == 0


def test_broken_bound_is_unlisted_unless_known():
    figure = Figure('refused', 0.2, bound=0.1, limit=Limit.AT_MOST)
    report = Report.of_results([_result(figure)])
    assert [row.name for row in report.unlisted(())] == ['example: refused']
    assert report.unlisted(['example: refused']) == []


def test_report_shows_other_policies_beside():
    figure = Figure('refused', 0.2)
    results = [_result(figure), _result(figure, policies='baseline')]
    (row,) = Report.of_results(results).rows
    assert row.baseline == 0.2
    assert row.earlier is None


def test_page_shows_the_figure_of_its_placeholder():
    result = _result(Figure('refused', 0.25))
    assert fill_page('{{example: refused}} s', [result]) == '0.25 s'


def test_capacity_follows_the_slope_of_measured_sizes():
    figures = [
        Figure(f'bytes a second a node, {nodes} nodes', amount)
        for nodes, amount in ((8, 300.0), (32, 500.0), (128, 700.0))
    ]
    result = Result('control', 'current', 1, tuple(figures), True, 0)
    (worked_out,) = work_out([result]).figures
    assert worked_out.name == 'bytes a second a node'
    assert 1100 < worked_out.amount < 1120
