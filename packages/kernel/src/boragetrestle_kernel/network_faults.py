"""Faults of the in-memory network."""

from collections.abc import Callable, Collection

import trio

PathTest = Callable[[str, str], bool]
PathDelay = Callable[[str, str], float]


def _no_loss(_source: str, _destination: str) -> bool:
    return False


class NetworkFaults:
    """Decide what happens to bytes from one host to another.

    Bytes that are lost are sent again once the path is whole, as TCP does: a
    faulty path stalls its streams and breaks none. Bytes within a host are
    never lost, but a frozen host neither sends nor receives.

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
        self.is_lost: PathTest = _no_loss
        self.changed = trio.lowlevel.ParkingLot()

    def lose(self, is_lost: PathTest) -> None:
        """Lose the bytes on paths, from source to destination, that match."""
        self.is_lost = is_lost
        self.changed.unpark_all()

    def partition(self, *groups: Collection[str]) -> None:
        """Lose all bytes between hosts of different groups.

        A host of no group keeps all its paths.
        """
        group_of = {
            host: place for place, group in enumerate(groups) for host in group
        }

        def crosses(source: str, destination: str) -> bool:
            if source not in group_of or destination not in group_of:
                return False
            return group_of[source] != group_of[destination]

        self.lose(crosses)

    def heal(self) -> None:
        """Make all paths whole; frozen hosts stay frozen."""
        self.lose(_no_loss)

    def freeze(self, host: str) -> None:
        """Stall all streams of a host in both directions."""
        self.frozen.add(host)

    def thaw(self, host: str) -> None:
        """Let the streams of a frozen host move again."""
        self.frozen.discard(host)
        self.changed.unpark_all()

    def is_stalled(self, source: str, destination: str) -> bool:
        """Return whether bytes of a path wait."""
        if source in self.frozen or destination in self.frozen:
            return True
        return source != destination and self.is_lost(source, destination)

    async def passable(self, source: str, destination: str) -> None:
        """Wait until the bytes of a path may move."""
        while self.is_stalled(source, destination):
            await self.changed.park()
