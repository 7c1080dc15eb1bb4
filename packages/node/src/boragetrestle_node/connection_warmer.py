"""Open connections before calls need them."""

from collections.abc import Callable
from math import ceil

import trio

from boragetrestle_kernel.errors import DialError
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_node.connection_pool import ConnectionPool
from boragetrestle_node.directory import Directory
from boragetrestle_node.target_book import TargetBook

_INTERVAL_SECONDS = 0.5
_SPARE_SHARE = 0.25
_MAX_OPENED = 8


class ConnectionWarmer:
    """Keep some idle connections to the targets that a node calls.

    For each target the recent peak of calls in flight plus a quarter is held
    open, within this node's part of the connections that the target declares.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        book: TargetBook,
        directory: Directory,
        *,
        count_nodes: Callable[[], int],
    ) -> None:
        self.pool = pool
        self.book = book
        self.directory = directory
        self.count_nodes = count_nodes

    async def run(self) -> None:
        """Open connections until cancelled."""
        while True:
            await trio.sleep(_INTERVAL_SECONDS)
            await self.pool.close_idle()
            self.book.forget_absent(self.directory.records)
            for target in tuple(self.book.views):
                record = self.directory.records.get(target)
                if record is not None:
                    await self.warm(record)

    async def warm(self, record: TargetRecord) -> None:
        """Open missing connections to a target, a few at a time."""
        address = record.target_address
        missing = self.wanted(record) - self.pool.count_idle(address)
        try:
            for _ in range(min(missing, _MAX_OPENED)):
                await self.pool.open(address)
        except DialError:
            return

    def wanted(self, record: TargetRecord) -> int:
        """Return how many idle connections to hold now."""
        view = self.book.view(record.target)
        recent = view.peak_at(trio.current_time())
        if view.is_ejected or recent < _SPARE_SHARE:
            return 0
        peak = ceil(recent * (1 + _SPARE_SHARE))
        own_part = max(1, record.connections // max(1, self.count_nodes()))
        return min(peak, own_part) - view.in_flight
