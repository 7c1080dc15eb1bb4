"""Rate limiter that spaces operations out, with a burst."""


class Pacer:
    """Reserve turns for operations, in order of arrival.

    ``rate`` is in operations per second. After a time without operations
    ``burst`` of them may start at once.

    >>> pacer = Pacer()
    >>> [pacer.reserve(now=0, rate=2, burst=2) for _ in range(4)]
    [0.0, 0.0, 0.5, 1.0]
    """

    def __init__(self) -> None:
        self.next_turn_at = 0.0

    def reserve(self, *, now: float, rate: float, burst: float) -> float:
        """Reserve the next turn and return the seconds until it."""
        start = max(self.next_turn_at, now)
        wait = max(0.0, start - (burst - 1) / rate - now)
        self.next_turn_at = start + 1 / rate
        return wait

    def cancel_reservation(self, *, rate: float) -> None:
        """Free the turn that was reserved last and not used."""
        self.next_turn_at -= 1 / rate
