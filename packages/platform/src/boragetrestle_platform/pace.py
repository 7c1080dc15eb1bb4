"""Space operations out at a rate, with a burst."""


class Pace:
    """Tell how long an operation must wait for its turn.

    Turns are given in order of arrival; ``burst`` of them may be taken at once
    after a quiet time.

    >>> pace = Pace()
    >>> [pace.wait(now=0, rate=2, burst=2) for _ in range(4)]
    [0.0, 0.0, 0.5, 1.0]
    """

    def __init__(self) -> None:
        self.next_at = 0.0

    def wait(self, *, now: float, rate: float, burst: float) -> float:
        """Return the seconds until the turn that the next call would take."""
        start = max(self.next_at, now)
        wait = max(0.0, start - (burst - 1) / rate - now)
        self.next_at = start + 1 / rate
        return wait

    def give_back(self, *, rate: float) -> None:
        """Return the last turn, which was not used."""
        self.next_at -= 1 / rate
