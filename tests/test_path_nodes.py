"""Whole nodes over loopback, with stand-in targets and store."""

import asyncio
import re
from collections.abc import Awaitable, Callable

import pytest
from entry_builders import request_bytes
from path_builders import LineLog
from path_standins import Host, MemoryStore

from boragetrestle_sidecar.caller_request import CallerRequest
from boragetrestle_sidecar.endpoint_server import EndpointAnswer
from boragetrestle_sidecar.steady_clock import steady_now
from boragetrestle_sidecar.store_sync import NODES_POLL_DELAY_SECONDS
from boragetrestle_sidecar.target_report import TargetState

SETTLE_SECONDS = 3.0

pytestmark = pytest.mark.loopback


def run_with_hosts(
    test: Callable[[list[Host], MemoryStore], Awaitable[None]],
    *,
    hosts: int = 2,
    domains: str = 'a',
) -> None:
    """Run a test with started hosts whose targets are ready.

    ``domains`` names a failure domain by each of its letters.
    """

    async def run() -> None:
        store = MemoryStore()
        store.put('operators', 'configuration', b'1')
        log = LineLog(steady_now)
        started = [
            Host(
                place + 1,
                store,
                log,
                domain=domains[place % len(domains)],
            )
            for place in range(hosts)
        ]
        try:
            for host in started:
                await host.start()
            await wait_until(
                lambda: all(is_linked(host, hosts) for host in started)
            )
            for host in started:
                host.report()
            await wait_until(
                lambda: all(sees_open_guards(host, hosts) for host in started)
            )
            await test(started, store)
        finally:
            for host in started:
                host.close()

    asyncio.run(run())


def is_linked(host: Host, count: int) -> bool:
    """Return whether a node is ready and has links to all others."""
    links = host.node.links
    is_whole = len(links.links) == count - 1 and links.all_connected
    return is_whole and host.node.is_ready


def sees_open_guards(host: Host, count: int) -> bool:
    """Return whether a node sees all guards open."""
    guards = host.node.fleet.guards_of('walks')
    return len([guard for guard in guards if guard.is_open]) == count


async def wait_until(holds: Callable[[], bool]) -> None:
    """Wait until a condition holds; fail after ``SETTLE_SECONDS``."""
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

    run_with_hosts(test)


def test_request_goes_to_the_other_host_when_the_own_target_leaves() -> None:
    """After a drain is acknowledged no entry sends to the target."""

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

    run_with_hosts(test)


def test_unsafe_request_runs_once_although_its_answer_is_lost() -> None:
    """The outcome is unknown to the caller and no node retries."""

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

    run_with_hosts(test)


def test_caller_that_leaves_stops_the_run_at_the_target() -> None:
    """The cancellation passes from the entry to the guard to the target."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        for host in hosts:
            host.target.answer = lambda _request: None
        _reader, writer = await asyncio.open_connection(hosts[0].ip, 7002)
        writer.write(request_bytes(time_left=60_000))
        await wait_until(lambda: any(host.target.runs for host in hosts))
        writer.close()
        await wait_until(
            lambda: not any(host.node.guard.running for host in hosts)
        )

    run_with_hosts(test)


def test_newer_configuration_is_in_force_at_all_nodes() -> None:
    """An older version that is offered later does not replace it."""

    async def test(hosts: list[Host], store: MemoryStore) -> None:
        store.put('operators', 'configuration', b'5')
        await wait_until(
            lambda: all(host.node.keeper.version == 5 for host in hosts)
        )
        hosts[1].node.keeper.apply_if_newer(b'3', source='test')
        assert hosts[1].node.keeper.version == 5

    run_with_hosts(test)


def test_peers_hand_on_what_the_store_does_not_tell() -> None:
    """A node without access to the store gets changes from its peers."""

    async def test(hosts: list[Host], store: MemoryStore) -> None:
        store.is_away = True
        hosts[0].node.keeper.apply_if_newer(b'9', source='store')
        await wait_until(lambda: hosts[1].node.keeper.version == 9)

    run_with_hosts(test)


def test_store_that_forgets_its_history_is_read_anew() -> None:
    """Lost changes must not leave a node with an old configuration."""

    async def test(hosts: list[Host], store: MemoryStore) -> None:
        store.is_away = True
        await asyncio.sleep(0.05)
        store.put('operators', 'configuration', b'6')
        store.forget_history()
        store.is_away = False
        await wait_until(
            lambda: all(host.node.keeper.version == 6 for host in hosts)
        )

    run_with_hosts(test)


def test_row_that_lapsed_is_back_after_the_stores_return() -> None:
    """A running node that reaches the store writes it within two seconds."""

    async def test(hosts: list[Host], store: MemoryStore) -> None:
        store.is_away = True
        await asyncio.sleep(0.05)
        store.remove('nodes', hosts[0].node.address)
        store.is_away = False
        began = steady_now()
        await wait_until(lambda: hosts[0].node.address in store.tables['nodes'])
        assert steady_now() - began < 2

    run_with_hosts(test)


def test_write_whose_answer_is_lost_is_settled_by_reading() -> None:
    """The row is written once and the node finds it in the table."""

    async def test(hosts: list[Host], store: MemoryStore) -> None:
        store.loses_answers = True
        store.remove('nodes', hosts[0].node.address)
        await wait_until(lambda: hosts[0].node.address in store.tables['nodes'])
        await wait_until(
            lambda: hosts[0].node.sync.registration.row is not None
        )

    run_with_hosts(test)


def test_stopping_node_answers_what_it_has_taken() -> None:
    """A planned stop fails no request and removes the node's row."""

    async def test(hosts: list[Host], store: MemoryStore) -> None:
        hosts[1].target.answer = lambda _request: None
        hosts[0].report(state=TargetState.DRAINING, sequence=2)
        waiting = asyncio.create_task(call(hosts[0], request_bytes()))
        await wait_until(lambda: bool(hosts[1].target.runs))
        stopping = asyncio.create_task(hosts[0].node.stop())
        await asyncio.sleep(0.1)
        assert not hosts[0].node.is_ready
        connection = hosts[1].target.connections[-1]
        connection.respond(
            hosts[1].target.runs[-1], EndpointAnswer(200, b'late')
        )
        assert await waiting == (200, b'late')
        await stopping
        assert hosts[0].node.address not in store.tables['nodes']

    run_with_hosts(test)


def test_run_that_lasts_is_carried_on_through_most_of_the_grace() -> None:
    """A run with a waiting caller continues for at least five sixths of it."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        for host in hosts:
            host.target.answer = lambda _request: None
        grace = hosts[0].settings.stop_seconds
        waiting = asyncio.create_task(
            call(hosts[0], request_bytes(time_left=60_000)),
        )
        await wait_until(lambda: any(host.target.runs for host in hosts))
        began = steady_now()
        await hosts[0].node.stop()
        assert grace * 5 / 6 < steady_now() - began < grace
        waiting.cancel()

    run_with_hosts(test)


def test_store_is_called_seldom_on_a_calm_fleet() -> None:
    """Calls cost money: one read and one poll per table, one row per node."""

    async def test(hosts: list[Host], store: MemoryStore) -> None:
        # The first read and a poll with a change are each followed by a delay.
        await asyncio.sleep(4 * NODES_POLL_DELAY_SECONDS)
        before = store.polls
        await asyncio.sleep(0.5)
        assert store.polls == before
        assert len(store.log) == 1 + len(hosts)

    run_with_hosts(test)
