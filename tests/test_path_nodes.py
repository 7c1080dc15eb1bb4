"""Nodes with their targets over loopback, against stand-ins."""

import asyncio
import re
from collections.abc import Awaitable, Callable

import pytest
from entry_builders import request_bytes
from path_builders import LineLog
from path_standins import Host, MemoryStore

from boragetrestle_sidecar.caller_request import CallerRequest
from boragetrestle_sidecar.sidecar import NODES_REST_SECONDS
from boragetrestle_sidecar.small_server import SmallAnswer
from boragetrestle_sidecar.steady_clock import steady_now
from boragetrestle_sidecar.target_report import TargetState

SETTLE_SECONDS = 3.0

pytestmark = pytest.mark.loopback


def play(
    test: Callable[[list[Host], MemoryStore], Awaitable[None]],
    *,
    hosts: int = 2,
) -> None:
    """Run a test with started hosts whose targets are ready."""

    async def run() -> None:
        store = MemoryStore()
        store.put('operators', 'configuration', b'1')
        log = LineLog(steady_now)
        started = [Host(place + 1, store, log) for place in range(hosts)]
        try:
            for host in started:
                await host.start()
            await until(lambda: all(linked(host, hosts) for host in started))
            for host in started:
                host.report()
            await until(lambda: all(sees(host, hosts) for host in started))
            await test(started, store)
        finally:
            for host in started:
                host.close()

    asyncio.run(run())


def linked(host: Host, count: int) -> bool:
    """Return whether a node has links to all others."""
    links = host.node.links
    return len(links.links) == count - 1 and links.are_up


def sees(host: Host, count: int) -> bool:
    """Return whether a node sees all guards open."""
    guards = host.node.fleet.guards_of('walks')
    return len([guard for guard in guards if guard.is_open]) == count


async def until(holds: Callable[[], bool]) -> None:
    """Wait for a condition."""
    async with asyncio.timeout(SETTLE_SECONDS):
        while not holds():
            await asyncio.sleep(0.01)


async def call(host: Host, sent: bytes) -> tuple[int, bytes]:
    """Return status and body of one request on its own connection."""
    reader, writer = await asyncio.open_connection(host.ip, 7002)
    writer.write(sent)
    head = await reader.readuntil(b'\r\n\r\n')
    found = re.search(rb'content-length: (\d+)', head)
    assert found is not None
    body = await reader.readexactly(int(found[1]))
    writer.close()
    return int(head.split()[1]), body


def test_request_is_answered_by_a_target_of_the_fleet() -> None:
    """The whole path: caller, entry, guard, target and back."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        for number in range(20):
            status, body = await call(
                hosts[0],
                request_bytes(f'r-{number}', path=f'/walks/{number}'),
            )
            assert (status, body) == (200, b'answer to /walks/%d' % number)

    play(test)


def test_request_goes_to_the_other_host_when_the_own_target_leaves() -> None:
    """A drain that was acknowledged binds every entry."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        hosts[0].report(state=TargetState.DRAINING, sequence=2)
        seen = len(hosts[0].target.runs)
        for host in hosts:
            for number in range(5):
                status, _body = await call(
                    host,
                    request_bytes(f'{host.ip}-{number}'),
                )
                assert status == 200
        assert len(hosts[0].target.runs) == seen

    play(test)


def test_unsafe_request_runs_once_although_its_answer_is_lost() -> None:
    """The caller learns nothing certain, and nobody sends it again."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        def break_off(_request: CallerRequest) -> None:
            for host in hosts:
                for connection in host.target.connections:
                    assert connection.transport is not None
                    connection.transport.abort()

        for host in hosts:
            host.target.answer = break_off
        status, _body = await call(
            hosts[0],
            request_bytes(path='/buy/1', method='POST', time_left=600),
        )
        assert status in {502, 504}
        assert sum(len(host.target.runs) for host in hosts) == 1

    play(test)


def test_caller_that_leaves_stops_the_run_at_the_target() -> None:
    """The close travels from entry to guard to target."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        for host in hosts:
            host.target.answer = lambda _request: None
        _reader, writer = await asyncio.open_connection(hosts[0].ip, 7002)
        writer.write(request_bytes(time_left=60_000))
        await until(lambda: any(host.target.runs for host in hosts))
        writer.close()
        await until(lambda: not any(host.node.guard.running for host in hosts))

    play(test)


def test_newer_configuration_is_in_force_at_all_nodes() -> None:
    """Also at one that the store turns away, and never goes back."""

    async def test(hosts: list[Host], store: MemoryStore) -> None:
        store.put('operators', 'configuration', b'5')
        await until(
            lambda: all(host.node.keeper.version == 5 for host in hosts)
        )
        hosts[1].node.keeper.offer(b'3', source='test')
        assert hosts[1].node.keeper.version == 5

    play(test)


def test_peers_hand_on_what_the_store_does_not_tell() -> None:
    """A node that is cut off from the store follows its peers."""

    async def test(hosts: list[Host], store: MemoryStore) -> None:
        store.is_away = True
        hosts[0].node.keeper.offer(b'9', source='store')
        await until(lambda: hosts[1].node.keeper.version == 9)

    play(test)


def test_store_that_forgets_its_history_is_read_anew() -> None:
    """A gap in the changes is no gap in the configuration."""

    async def test(hosts: list[Host], store: MemoryStore) -> None:
        store.is_away = True
        await asyncio.sleep(0.05)
        store.put('operators', 'configuration', b'6')
        store.forget_history()
        store.is_away = False
        await until(
            lambda: all(host.node.keeper.version == 6 for host in hosts)
        )

    play(test)


def test_row_that_lapsed_is_back_after_the_stores_return() -> None:
    """Within two seconds, if the node lives and reaches the store."""

    async def test(hosts: list[Host], store: MemoryStore) -> None:
        store.is_away = True
        await asyncio.sleep(0.05)
        store.remove('nodes', hosts[0].node.address)
        store.is_away = False
        began = steady_now()
        await until(lambda: hosts[0].node.address in store.tables['nodes'])
        assert steady_now() - began < 2

    play(test)


def test_write_whose_answer_is_lost_is_settled_by_reading() -> None:
    """The node has one row, and knows it."""

    async def test(hosts: list[Host], store: MemoryStore) -> None:
        store.loses_answers = True
        store.remove('nodes', hosts[0].node.address)
        await until(lambda: hosts[0].node.address in store.tables['nodes'])
        await until(lambda: hosts[0].node.registration.row is not None)

    play(test)


def test_stopping_node_answers_what_it_has_taken() -> None:
    """No request is cut by a planned stop; the row goes."""

    async def test(hosts: list[Host], store: MemoryStore) -> None:
        hosts[1].target.answer = lambda _request: None
        hosts[0].report(state=TargetState.DRAINING, sequence=2)
        waiting = asyncio.create_task(call(hosts[0], request_bytes()))
        await until(lambda: bool(hosts[1].target.runs))
        stopping = asyncio.create_task(hosts[0].node.stop())
        await asyncio.sleep(0.1)
        assert not hosts[0].node.is_ready
        connection = hosts[1].target.connections[-1]
        connection.respond(hosts[1].target.runs[-1], SmallAnswer(200, b'late'))
        assert await waiting == (200, b'late')
        await stopping
        assert hosts[0].node.address not in store.tables['nodes']

    play(test)


def test_run_that_lasts_is_carried_on_through_most_of_the_grace() -> None:
    """A run that its caller waits for is not cut before five sixths of it."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        for host in hosts:
            host.target.answer = lambda _request: None
        grace = hosts[0].settings.stop_seconds
        waiting = asyncio.create_task(
            call(hosts[0], request_bytes(time_left=60_000)),
        )
        await until(lambda: any(host.target.runs for host in hosts))
        began = steady_now()
        await hosts[0].node.stop()
        assert grace * 5 / 6 < steady_now() - began < grace
        waiting.cancel()

    play(test)


def test_store_is_called_seldom_on_a_calm_fleet() -> None:
    """Calls are priced: one read and one poll a table, one row."""

    async def test(hosts: list[Host], store: MemoryStore) -> None:
        # The first read and a poll with a change are each followed by a rest.
        await asyncio.sleep(4 * NODES_REST_SECONDS)
        before = store.polls
        await asyncio.sleep(0.5)
        assert store.polls == before
        assert len(store.log) == 1 + len(hosts)

    play(test)
