"""Faults that the in-memory network simulates."""

from collections.abc import Callable, Collection

import trio

PathPredicate = Callable[[str, str], bool]
PathDelay = Callable[[str, str], float]


def _no_loss(_source: str, _destination: str) -> bool:
    return False


class NetworkFaults:
    """Delay or stall the bytes between two hosts.

    Lost bytes are retransmitted once the fault is over, as TCP does: a faulty
    path stalls its streams and breaks none. Bytes within a host are never lost,
    but a frozen host neither sends nor receives.

    >>> faults = NetworkFaults()
    >>> faults.partition(['10.0.0.1'], ['10.0.0.2', '10.0.0.3'])
    >>> faults.is_stalled('10.0.0.1', '10.0.0.3')
    True
    >>> faults.is_stalled('10.0.0.2', '10.0.0.3')
    False
    """

    def __init__(self, *, delay: float = 0) -> None:
        self.delay_of: PathDelay = lambda _source, _destination: delay
        self.frozen: set[str] = set()
        self.is_lost: PathPredicate = _no_loss
        self.changed = trio.lowlevel.ParkingLot()

    def lose(self, is_lost: PathPredicate) -> None:
        """Lose all bytes on the paths that ``is_lost`` matches."""
        self.is_lost = is_lost
        self.changed.unpark_all()

    def partition(self, *groups: Collection[str]) -> None:
        """Lose all bytes between hosts of different groups.

        A host that is in no group still reaches every other host.
        """
        group_of = {
            host: number
            for number, group in enumerate(groups)
            for host in group
        }

        def crosses(source: str, destination: str) -> bool:
            if source not in group_of or destination not in group_of:
                return False
            return group_of[source] != group_of[destination]

        self.lose(crosses)

    def heal(self) -> None:
        """End all losses; frozen hosts stay frozen."""
        self.lose(_no_loss)

    def freeze(self, host: str) -> None:
        """Stall all streams of a host in both directions."""
        self.frozen.add(host)

    def thaw(self, host: str) -> None:
        """Resume the streams of a frozen host."""
        self.frozen.discard(host)
        self.changed.unpark_all()

    def is_stalled(self, source: str, destination: str) -> bool:
        """Return whether a fault holds back the bytes of a path."""
        if source in self.frozen or destination in self.frozen:
            return True
        return source != destination and self.is_lost(source, destination)

    async def wait_until_passable(self, source: str, destination: str) -> None:
        """Wait until no fault holds back the bytes of a path."""
        while self.is_stalled(source, destination):
            await self.changed.park()
