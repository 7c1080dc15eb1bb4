"""Background tasks of a node in which a step fails."""

import asyncio
from typing import Any

import pytest
from entry_builders import request_bytes
from path_standins import Host, MemoryStore
from test_path_nodes import call, run_with_hosts, wait_until

pytestmark = pytest.mark.loopback

# Where each step of a periodic task is found, from the node.
STEPS = (
    'guard.sweep',
    'entry.expire_overdue_requests',
    'admission.refresh',
    'reporter.send_if_guard_changed',
    'links.check_liveness',
    'guard.pool.close_stale',
    'server.abort_silent_connections',
    'rates.refill_shares',
    'links.refresh',
)


def fail(*_arguments: Any) -> None:
    """Fail as a step with a fault."""
    raise ValueError('a fault')


# Guards against a fault of one step that ends the node.
@pytest.mark.parametrize('path', STEPS)
def test_step_that_fails_does_not_end_the_node(path: str) -> None:
    """Its requests are answered and the fault is logged."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        node: Any = hosts[0].node
        place = node
        *owners, name = path.split('.')
        for owner in owners:
            place = getattr(place, owner)
        setattr(place, name, fail)
        kinds = node.log.kinds
        await wait_until(
            lambda: bool({'step-failed', 'task-failed'} & set(kinds()))
        )
        assert not node.stop_requested.is_set()
        assert (await call(hosts[0], request_bytes()))[0] == 200

    run_with_hosts(test)


# Guards against a connection that keeps others from being closed.
def test_idle_connection_is_closed_beside_one_whose_check_fails() -> None:
    """Whichever is checked first."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        node = hosts[0].node
        opened = [
            await asyncio.open_connection(hosts[0].ip, 7002) for _ in range(4)
        ]
        await wait_until(lambda: len(node.entry.connections) == len(opened))
        idle: Any
        failing: Any
        failing, *idle = node.entry.connections
        failing.close_if_idle = fail
        for connection in idle:
            connection.last_used_at -= 100
        await wait_until(lambda: node.entry.connections == {failing})
        for _reader, writer in opened:
            writer.close()

    run_with_hosts(test)


# Guards against a node that follows the store no more, or ends.
def test_change_of_the_store_that_fails_is_taken_over_later() -> None:
    """The configuration after a fault is in force."""

    async def test(hosts: list[Host], store: MemoryStore) -> None:
        node: Any = hosts[0].node
        apply = node.keeper.apply_if_newer
        node.keeper.apply_if_newer = fail
        store.put('operators', 'configuration', b'2')
        await wait_until(lambda: 'task-failed' in node.log.kinds())
        node.keeper.apply_if_newer = apply
        await wait_until(lambda: node.keeper.version == 2)
        assert not node.stop_requested.is_set()

    run_with_hosts(test, hosts=1)
