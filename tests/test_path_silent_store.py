"""Connections to the store that go silent without a reset."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager

import pytest
from boragetrestle_deploy.store import PlatformStore
from path_builders import LineLog, chance
from store_server import StoreServer

from boragetrestle_sidecar.http_caller import HttpCaller
from boragetrestle_sidecar.table_watch import TableWatch

# A node counts as undisturbed this long after its connections were disturbed,
# and from then on each change is due.
RECOVERY_SECONDS = 3.0
TABLE = 'operators'
pytestmark = pytest.mark.loopback


class Follower:
    """A node that follows a table over HTTP, and the versions that it saw."""

    def __init__(self, server: StoreServer, *, poll_delay: float) -> None:
        self.server = server
        self.log = LineLog()
        self.caller = HttpCaller(server.address)
        self.store = PlatformStore(self.caller)
        self.watch = TableWatch(
            TABLE,
            self.store,
            self.log,
            on_change=self.keep,
            is_needed=lambda: True,
            chance=chance(),
            poll_delay=poll_delay,
        )
        self.seen: list[bytes] = []

    def keep(self, watch: TableWatch) -> None:
        """Record the version in the table."""
        self.seen += [row.content for row in watch.rows.values()]

    async def sees(self, version: bytes, *, within: float) -> None:
        """Wait for a version; fail if it does not come in time."""
        async with asyncio.timeout(within):
            while version not in self.seen:
                await asyncio.sleep(0.01)


@asynccontextmanager
async def follower(*, poll_delay: float) -> AsyncGenerator[Follower, None]:
    """Run a follower that has seen the first version."""
    server = StoreServer()
    await server.start()
    server.store.put(TABLE, 'configuration', b'1')
    node = Follower(server, poll_delay=poll_delay)
    task = asyncio.create_task(node.watch.run())
    try:
        await node.sees(b'1', within=1)
        yield node
    finally:
        task.cancel()
        server.stop()


@pytest.mark.parametrize('silent_seconds', [0.0, 0.5, 0.95])
def test_change_is_seen_although_the_open_poll_went_silent(
    silent_seconds: float,
) -> None:
    """The poll is answered over a connection that delivers nothing."""

    async def test() -> None:
        async with follower(poll_delay=0.01) as node:
            await asyncio.sleep(0.2 + silent_seconds)
            node.server.silence_connections()
            node.server.store.put(TABLE, 'configuration', b'2')
            await node.sees(b'2', within=RECOVERY_SECONDS)

    asyncio.run(test())


def test_change_is_seen_although_the_next_poll_goes_to_a_silent_connection() -> (
    None
):
    """The connections go silent between two polls."""

    async def test() -> None:
        async with follower(poll_delay=0.6) as node:
            # The connections of other calls are idle meanwhile.
            await asyncio.gather(*(node.store.view(TABLE) for _ in range(3)))
            node.server.silence_connections()
            node.server.store.put(TABLE, 'configuration', b'2')
            await node.sees(b'2', within=RECOVERY_SECONDS)

    asyncio.run(test())


def test_changes_are_seen_although_connections_go_silent_again_and_again() -> (
    None
):
    """Each recovery leaves connections that go silent in turn."""

    async def test() -> None:
        async with follower(poll_delay=0.1) as node:
            for number in range(2, 5):
                version = b'%d' % number
                await asyncio.sleep(0.3 * number)
                node.server.silence_connections()
                node.server.store.put(TABLE, 'configuration', version)
                await node.sees(version, within=RECOVERY_SECONDS)

    asyncio.run(test())
