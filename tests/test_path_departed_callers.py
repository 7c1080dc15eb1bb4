"""Callers that leave while their requests run."""

import asyncio
from collections.abc import Callable

import pytest
from entry_builders import EntryHarness, FakeHop, node_load, request_bytes
from path_builders import GuardHarness
from path_standins import Host, MemoryStore
from test_path_nodes import run_with_hosts

from boragetrestle_sidecar.hop import LocalHop
from boragetrestle_sidecar.outcome import Outcome, OutcomeKind, Reason
from boragetrestle_sidecar.run_order import RunOrder

MANY_REQUESTS = 20  # more than are read while others run
LEAVE_SECONDS = 0.4  # below the half second in which their runs have to end


def test_run_of_a_caller_that_left_is_not_placed_again() -> None:
    """The guard of the same node reports the cancelled run at once."""
    bench = EntryHarness()
    guard_bench = GuardHarness(slots=1)
    bench.fleet.add('a', LocalHop(guard_bench.guard))
    bench.fleet.update_load(node_load('a'))
    bench.fleet.update_load(
        node_load('b')._replace(load=node_load('b').load._replace(running=900))
    )
    connection, _transport = bench.connect()
    connection.data_received(b''.join(map(request_bytes, 'xyz')))
    assert not bench.hops['b'].sent
    connection.connection_lost(None)
    assert not bench.hops['b'].sent
    assert not guard_bench.guard.jobs
    assert not bench.entry.requests


class RefusingHop(FakeHop):
    """A guard that refuses before it returns, as the own one may."""

    def run(
        self,
        order: RunOrder,
        reply: Callable[[Outcome], None],
    ) -> int:
        """Refuse a run."""
        super().run(order, reply)
        reply(Outcome(OutcomeKind.NOT_SENT, Reason.QUEUE_FULL))
        return 99


# Guards against runs of callers that left, and of others cancelled in place.
def test_cancel_names_the_run_that_was_placed_after_a_refusal() -> None:
    """The refusal comes before the number of the refused run is known."""
    bench = EntryHarness()
    refusing = RefusingHop()
    bench.fleet.add('a', refusing)
    bench.fleet.update_load(node_load('a'))
    bench.fleet.update_load(
        node_load('b')._replace(load=node_load('b').load._replace(running=900))
    )
    connection, _transport = bench.connect()
    connection.data_received(request_bytes())
    assert len(refusing.sent) == 1
    assert len(bench.hops['b'].sent) == 1
    connection.connection_lost(None)
    assert bench.hops['b'].cancelled == [1]
    assert not refusing.cancelled


# Guards against requests that go on since their connection is not read.
@pytest.mark.loopback
@pytest.mark.parametrize('path', ['/walks/1', '/buy/1'])
@pytest.mark.parametrize('by_reset', [False, True])
def test_caller_that_leaves_many_requests_is_noticed(
    path: str,
    *,
    by_reset: bool,
) -> None:
    """Reading pauses behind them, so the end of the connection is not read."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        for host in hosts:
            host.target.answers_after = 10 * LEAVE_SECONDS
        entry = hosts[0].node.entry
        _reader, writer = await asyncio.open_connection(hosts[0].ip, 7002)
        for number in range(MANY_REQUESTS):
            writer.write(request_bytes(f'r-{number}', path=path))
        await asyncio.sleep(LEAVE_SECONDS / 2)
        assert entry.requests
        if by_reset:
            writer.transport.abort()
        writer.close()
        await asyncio.sleep(LEAVE_SECONDS)
        assert not entry.requests
        assert not entry.connections

    run_with_hosts(test)
