"""Counters, gauges and latency histograms of a node, rendered as text."""

import math
from bisect import bisect_left
from collections import Counter
from collections.abc import Callable, Iterator, Mapping

# From the quickest run to the longest time limit in use.
BUCKET_BOUNDS_SECONDS = (
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)


class Histogram:
    """Count durations by bucket."""

    def __init__(self) -> None:
        self.counts = [0 for _bound in (*BUCKET_BOUNDS_SECONDS, math.inf)]
        self.total = 0.0

    def add(self, seconds: float) -> None:
        """Count one duration."""
        self.counts[bisect_left(BUCKET_BOUNDS_SECONDS, seconds)] += 1
        self.total += seconds


class Telemetry:
    """Metrics of a node, rendered when they are read.

    The output is OpenTelemetry's text format, and names follow its rules:
    ``_total`` for counters, seconds for durations. ``infos`` are gauges that are
    always 1 and whose labels say something that does not change.
    """

    def __init__(self) -> None:
        self.events: Counter[tuple[str, str, str]] = Counter()
        self.store_calls: Counter[tuple[str, str]] = Counter()
        self.histograms: dict[tuple[str, str], Histogram] = {}
        self.gauges: dict[str, Callable[[], float]] = {}
        self.infos: dict[str, Mapping[str, object]] = {}

    def count(self, route: str, event: str, reason: str) -> None:
        """Count an event of a route, with its reason."""
        self.events[route, event, str(reason)] += 1

    def count_answer(self, route: str, status: int, seconds: float) -> None:
        """Count an answer of a target and record how long it took."""
        self.events[route, 'answered', str(status)] += 1
        self.observe('request_seconds', route, seconds)

    def observe(self, name: str, label: str, seconds: float) -> None:
        """Add a duration to the histogram of a metric and its label."""
        key = (name, label)
        histogram = self.histograms.get(key)
        if histogram is None:
            histogram = Histogram()
            self.histograms[key] = histogram
        histogram.add(seconds)

    def render(self) -> str:
        """Return all metrics as lines of text."""
        return ''.join(f'{line}\n' for line in self._lines())

    def _lines(self) -> Iterator[str]:
        for (route, event, reason), count in sorted(self.events.items()):
            labels = f'route="{route}",event="{event}",reason="{reason}"'
            yield f'boragetrestle_requests_total{{{labels}}} {count}'
        for (call, result), count in sorted(self.store_calls.items()):
            labels = f'call="{call}",result="{result}"'
            yield f'boragetrestle_store_calls_total{{{labels}}} {count}'
        for name, read in sorted(self.gauges.items()):
            yield f'boragetrestle_{name} {read():g}'
        yield from _info_lines(self.infos)
        for (name, label), histogram in sorted(self.histograms.items()):
            yield from _histogram_lines(name, label, histogram)


def _info_lines(infos: Mapping[str, Mapping[str, object]]) -> Iterator[str]:
    for name, fields in sorted(infos.items()):
        labels = ','.join(f'{key}="{text}"' for key, text in fields.items())
        yield f'boragetrestle_{name}_info{{{labels}}} 1'


def _histogram_lines(
    name: str,
    label: str,
    histogram: Histogram,
) -> Iterator[str]:
    metric = f'boragetrestle_{name}'
    running = 0
    bounds = [f'{bound:g}' for bound in BUCKET_BOUNDS_SECONDS]
    for bound, count in zip((*bounds, '+Inf'), histogram.counts, strict=True):
        running += count
        yield f'{metric}_bucket{{of="{label}",le="{bound}"}} {running}'
    yield f'{metric}_sum{{of="{label}"}} {histogram.total:g}'
    yield f'{metric}_count{{of="{label}"}} {running}'
