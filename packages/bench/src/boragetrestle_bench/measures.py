"""Measures over the outcomes of a run."""

from collections import Counter
from collections.abc import Iterable, Sequence

from boragetrestle_bench.outcome import Outcome
from boragetrestle_kernel.call_class import CallClass

_WINDOW_SECONDS = 2.0
_STEP_SECONDS = 0.5


def goodput(
    outcomes: Iterable[Outcome],
    start: float,
    stop: float,
    *,
    call_class: CallClass | None = None,
) -> float:
    """Return whole answers a second between two times in seconds."""
    count = sum(
        1
        for outcome in outcomes
        if outcome.is_good
        and start <= outcome.ended_at < stop
        and call_class in {None, outcome.demand.call_class}
    )
    return count / (stop - start)


def answered_share(
    outcomes: Iterable[Outcome],
    start: float,
    stop: float,
    *,
    call_class: CallClass,
) -> float:
    """Return the share of calls sent between two times that were answered."""
    sent = [
        outcome.is_good
        for outcome in outcomes
        if start <= outcome.sent_at < stop
        and outcome.demand.call_class is call_class
    ]
    return sum(sent) / len(sent) if sent else 0


def recovery_seconds(
    outcomes: Sequence[Outcome],
    *,
    well_at: float,
    stop: float,
    required: float,
) -> float:
    """Return seconds from ``well_at`` until goodput stays at ``required``.

    Goodput is taken over windows of 2 s. A run that never recovers gives the
    whole time until ``stop``.
    """
    recovered_at = well_at
    start = well_at
    while start + _WINDOW_SECONDS <= stop:
        if goodput(outcomes, start, start + _WINDOW_SECONDS) < required:
            recovered_at = start + _WINDOW_SECONDS
        start += _STEP_SECONDS
    return recovered_at - well_at


def worst_share(
    outcomes: Iterable[Outcome],
    start: float,
    stop: float,
    *,
    fair: dict[str, float],
) -> float:
    """Return the least goodput of an organisation over its fair share.

    ``fair`` maps organisations to calls a second.
    """
    served = Counter(
        outcome.demand.organisation
        for outcome in outcomes
        if outcome.is_good and start <= outcome.ended_at < stop
    )
    seconds = stop - start
    return min(served[name] / seconds / due for name, due in fair.items())


def refused_share(outcomes: Sequence[Outcome]) -> float:
    """Return the share of calls that got no whole answer."""
    failed = sum(1 for outcome in outcomes if not outcome.is_good)
    return failed / len(outcomes) if outcomes else 0
