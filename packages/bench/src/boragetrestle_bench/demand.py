"""Demand that a benchmark puts on a fleet."""

from typing import NamedTuple

from boragetrestle_kernel.call_class import CallClass


class Demand(NamedTuple):
    """Calls of one organisation on one path.

    ``rate`` is in calls a second. The demand lasts from ``start`` to ``stop``
    in seconds. ``retries`` is how often the caller sends a refused call again
    at once, without waiting as it is told.
    """

    organisation: str
    path: str
    rate: float
    start: float
    stop: float
    call_class: CallClass = CallClass.INTERACTIVE
    method: str = 'GET'
    retries: int = 0
