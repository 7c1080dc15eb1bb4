"""Draw goodput, refusals and shares over time in one HTML file."""

import base64
import html
import io
from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import NamedTuple

import matplotlib as mpl

mpl.use('agg')

from matplotlib import pyplot as plt
from matplotlib.axes import Axes

from boragetrestle_kernel.timeline import Event, EventKind
from boragetrestle_kernel.wall_time import format_utc

_MICROSECONDS_PER_SECOND = 1_000_000
_MAX_INTERVALS = 120
_WIDTH_INCHES = 10.0
_HEIGHT_INCHES = 3.2
_DOTS_PER_INCH = 110
_GRID_ALPHA = 0.3
_SHOWN_EVENTS = 300
_ROUTINE_KINDS = frozenset((
    EventKind.CALL_ENTERED,
    EventKind.CALL_SENT,
    EventKind.CALL_ANSWERED,
    EventKind.CALL_REFUSED,
))

Series = dict[str, list[float]]


class Chart(NamedTuple):
    """What one chart shows, by name of its series."""

    title: str
    unit: str
    series: Series


class _TimeIntervals:
    """Equal intervals of the time that some events span."""

    def __init__(self, events: Sequence[Event]) -> None:
        times = [event.micros for event in events] or [0]
        self.start = times[0]
        span = times[-1] - self.start + 1
        self.seconds = max(
            1, -(-span // _MICROSECONDS_PER_SECOND // _MAX_INTERVALS)
        )
        self.count = span // (self.seconds * _MICROSECONDS_PER_SECOND) + 1

    @property
    def times(self) -> list[float]:
        """Seconds from the first event to the start of each interval."""
        return [float(index * self.seconds) for index in range(self.count)]

    @property
    def edges(self) -> list[float]:
        """The times, and the end of the last interval."""
        return [*self.times, float(self.count * self.seconds)]

    def series(
        self,
        events: Sequence[Event],
        name_of: Callable[[Event], str],
    ) -> Series:
        """Count events a second by name and interval."""
        found: Series = defaultdict(lambda: [0.0 for _ in self.times])
        for event in events:
            offset = event.micros - self.start
            index = offset // (self.seconds * _MICROSECONDS_PER_SECOND)
            found[name_of(event)][index] += 1 / self.seconds
        return dict(sorted(found.items()))


def write_report(events: Sequence[Event], path: Path) -> None:
    """Write the charts and the newest decisions to an HTML file."""
    intervals = _TimeIntervals(events)
    answered = _entry_events(events, EventKind.CALL_ANSWERED)
    refused = _entry_events(events, EventKind.CALL_REFUSED)
    goodput = intervals.series(answered, lambda _event: 'answered whole')
    reasons = intervals.series(refused, lambda event: event.reason)
    shares = _shares(
        intervals.series(answered, lambda event: event.organisation or 'open'),
    )
    image = _draw_charts(
        intervals,
        (
            Chart('Goodput', 'calls a second', goodput),
            Chart('Refusals by reason', 'calls a second', reasons),
            Chart('Share of goodput by organisation', 'share', shares),
        ),
    )
    path.write_text(_build_page(events, image), encoding='utf-8')


def _entry_events(events: Sequence[Event], kind: EventKind) -> list[Event]:
    """Return events of calls that came from outside the fleet.

    The subject names the origin of any other call.
    """
    return [
        event for event in events if event.kind is kind and not event.subject
    ]


def _shares(series: Series) -> Series:
    totals = [sum(column) for column in zip(*series.values(), strict=True)]
    return {
        name: [
            part / total if total else 0
            for part, total in zip(parts, totals, strict=True)
        ]
        for name, parts in series.items()
    }


def _draw_charts(intervals: _TimeIntervals, charts: Sequence[Chart]) -> str:
    """Return an image of charts that share their time axis."""
    figure, rows = plt.subplots(
        len(charts),
        figsize=(_WIDTH_INCHES, _HEIGHT_INCHES * len(charts)),
        layout='constrained',
        sharex=True,
    )
    for axes, chart in zip(rows, charts, strict=True):
        _plot_series(axes, intervals, chart.series)
        axes.set_title(chart.title, loc='left')
        axes.set_ylabel(chart.unit)
        axes.set_xlim(0, intervals.edges[-1])
        axes.set_ylim(bottom=0)
        axes.grid(visible=True, alpha=_GRID_ALPHA)
    rows[-1].set_xlabel('seconds since the first event')
    image = io.BytesIO()
    figure.savefig(image, format='png', dpi=_DOTS_PER_INCH)
    plt.close(figure)
    return base64.b64encode(image.getvalue()).decode()


def _plot_series(axes: Axes, intervals: _TimeIntervals, series: Series) -> None:
    if not series:
        axes.text(0.5, 0.5, 'none', transform=axes.transAxes, ha='center')
        return
    colours = mpl.colormaps['tab20'].colors  # type: ignore[attr-defined]
    axes.stackplot(
        intervals.edges,
        *([*column, column[-1]] for column in series.values()),
        labels=list(series),
        colors=colours,
        step='post',
    )
    axes.legend(loc='center left', bbox_to_anchor=(1, 0.5), frameon=False)


def _build_page(events: Sequence[Event], image: str) -> str:
    source = f'data:image/png;base64,{image}'
    decisions = [event for event in events if event.kind not in _ROUTINE_KINDS]
    rows = ''.join(map(_event_row, decisions[-_SHOWN_EVENTS:]))
    counts = Counter(event.node for event in events)
    return (
        '<!doctype html><html lang="en"><meta charset="utf-8">'
        '<title>boragetrestle</title><style>body{font-family:sans-serif;'
        'margin:2em}img{display:block;max-width:100%}td{padding:0 1em 0 0}'
        '</style><h1>boragetrestle</h1>'
        f'<p>{len(events)} events of {len(counts)} nodes. Each node keeps its'
        f' newest events only.</p><img alt="charts" src="{source}"><h2>Decisions</h2><table>{rows}'
        '</table></html>'
    )


def _event_row(event: Event) -> str:
    cells = (
        format_utc(event.micros / _MICROSECONDS_PER_SECOND),
        event.node,
        event.kind.value,
        event.reason,
        event.organisation,
        event.service,
        event.subject,
    )
    shown = ''.join(f'<td>{html.escape(cell)}</td>' for cell in cells)
    return f'<tr>{shown}</tr>'
