"""Targets that leave before the node beside them has a report of theirs."""

import asyncio
from collections.abc import Coroutine
from typing import Any, cast

import msgspec
import pytest
from entry_builders import request_bytes
from path_builders import NAMES, LineLog, ManualClock, report, settings
from path_standins import Host, MemoryStore
from test_path_nodes import call, is_linked, run_with_hosts, wait_until

from boragetrestle_kernel.ids import TargetId
from boragetrestle_sidecar.caller_request import CallerRequest
from boragetrestle_sidecar.guard import Guard
from boragetrestle_sidecar.node_endpoints import NodeEndpoints
from boragetrestle_sidecar.platform_adapter import TargetLeave
from boragetrestle_sidecar.reported_target import ReportedTarget
from boragetrestle_sidecar.target_leaves import MAX_LEAVES
from boragetrestle_sidecar.target_notice import TargetNotice

TARGET = TargetId('t-1')
LEFT_AT_SECONDS = 1_800_000_000.0
LEFT_AT = int(LEFT_AT_SECONDS * 1000)


class LeaveAdapter:
    """An adapter that takes each call for a leave of the target."""

    def decode_target_call(self, _request: CallerRequest) -> TargetLeave:
        """Return the leave."""
        return TargetLeave(TARGET)


def restarted_guard() -> Guard:
    """Return a guard to which no target has reported yet."""
    return Guard(
        settings(),
        NAMES,
        LineLog(),
        clock=ManualClock(),
        wall_clock=lambda: LEFT_AT_SECONDS,
    )


# Guards against requests after a leave that came before the first report.
def test_late_report_does_not_undo_a_leave_from_before_the_first_report() -> (
    None
):
    """The node has restarted, and a report from before the leave is late."""
    guard = restarted_guard()
    guard.handle_leaving(TARGET)
    guard.handle_heartbeat(report(started_at=LEFT_AT - 60_000, sequence=9))
    assert not guard.is_open
    guard.handle_heartbeat(report(started_at=LEFT_AT - 60_000, sequence=10))
    assert not guard.is_open


def test_target_that_comes_back_under_its_id_takes_work() -> None:
    """It leaves for the last time when it exits, and may start at once."""
    guard = restarted_guard()
    guard.handle_leaving(TARGET)
    guard.handle_heartbeat(report(started_at=LEFT_AT + 1))
    assert guard.is_open


def test_leave_of_a_former_target_does_not_close_the_next_one() -> None:
    """Addresses are used again."""
    guard = restarted_guard()
    guard.handle_leaving(TARGET)
    guard.handle_heartbeat(report(target='t-2', started_at=LEFT_AT - 500))
    assert guard.is_open


def test_next_start_under_a_known_id_may_leave_before_it_reports() -> None:
    """What is known of the id is from another target in between."""
    guard = restarted_guard()
    guard.handle_heartbeat(report(target='t-2', started_at=LEFT_AT - 9000))
    guard.handle_leaving(TARGET)
    assert guard.is_open
    guard.handle_heartbeat(report(started_at=LEFT_AT - 500))
    assert not guard.is_open


@pytest.mark.parametrize('comes_first', ['notice', 'report'])
def test_peers_tell_of_the_leave_after_another_restart(
    comes_first: str,
) -> None:
    """Links may be up before or after the late report."""
    told = restarted_guard()
    told.handle_leaving(TARGET)
    notice = told.load.notice
    assert notice is not None
    guard = restarted_guard()
    steps = [
        lambda: guard.handle_notice(notice),
        lambda: guard.handle_heartbeat(report(started_at=LEFT_AT - 60_000)),
    ]
    for step in steps if comes_first == 'notice' else reversed(steps):
        step()
    assert not guard.is_open
    assert guard.load.notice is not None
    assert guard.load.notice.is_leaving


def test_restarted_guard_repeats_what_peers_told_it() -> None:
    """It may restart again before the late report."""
    told = restarted_guard()
    told.handle_leaving(TARGET)
    assert told.load.notice is not None
    again = restarted_guard()
    again.handle_notice(told.load.notice)
    assert again.load.notice == told.load.notice


def test_nodes_of_the_build_before_can_read_the_notice() -> None:
    """They ignore reports up to a start and a sequence."""
    told = restarted_guard()
    told.handle_leaving(TARGET)
    notice = told.load.notice
    assert notice is not None
    assert msgspec.convert(list(notice), TargetNotice) == notice
    earlier = ReportedTarget(settings().target, heartbeat=1.5)
    assert notice.drain_sequence is not None
    earlier.drains.add(TARGET, notice.started_at, notice.drain_sequence)
    earlier.update(report(started_at=LEFT_AT - 60_000, sequence=99), now=0.0)
    assert not earlier.is_available(0.0)


def test_leaves_of_many_targets_are_bounded() -> None:
    """Another writer may send a leave under any id."""
    guard = restarted_guard()
    for number in range(3 * MAX_LEAVES):
        guard.handle_leaving(TargetId(f'x-{number}'))
    leaves = guard.reported_target.leaves
    assert len(leaves.unreported) == MAX_LEAVES
    assert len(leaves.starts) <= MAX_LEAVES


@pytest.mark.parametrize(('is_saved', 'status'), [(True, 200), (False, 503)])
def test_leave_is_acknowledged_once_peers_and_the_store_know(
    *, is_saved: bool, status: int
) -> None:
    """All nodes may be killed right after it."""
    guard = restarted_guard()
    told: list[TargetNotice | None] = []
    waits: list[int] = []

    async def wait_until_saved(_seconds: float) -> bool:
        waits.append(len(told))
        return is_saved

    endpoints = NodeEndpoints(
        LeaveAdapter(),  # type: ignore[arg-type]
        guard,
        guard.telemetry,
        LineLog(),
        routes=None,  # type: ignore[arg-type]
        is_ready=lambda: True,
        on_guard_changed=lambda: told.append(guard.notice),
        wait_until_saved=wait_until_saved,
    )
    answer = endpoints.control(CallerRequest(b'DELETE', b'/t-1'))
    assert told == [guard.notice]
    acknowledged = asyncio.run(cast('Coroutine[Any, Any, Any]', answer))
    assert acknowledged.status == status
    assert waits == [1]
    assert guard.notice is not None


@pytest.mark.loopback
def test_leave_holds_over_a_restart_before_it_and_one_after_it() -> None:
    """The first restart forgets the target, the second one the leave."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        leaving, other = hosts
        await leaving.restart_node()
        await wait_until(lambda: is_linked(leaving, 2) and is_linked(other, 2))
        leaving.node.guard.handle_leaving(
            report(target=f't-{leaving.ip}').target
        )
        leaving.node.reporter.send_if_guard_changed()
        address = leaving.node.address
        await wait_until(lambda: address in other.node.fleet.notices)
        await leaving.restart_node()
        await wait_until(lambda: is_linked(leaving, 2) and is_linked(other, 2))
        runs = len(leaving.target.runs)
        leaving.report(sequence=2)
        for number in range(20):
            await call(other, request_bytes(f'r-{number}'))
        assert len(leaving.target.runs) == runs

    run_with_hosts(test)
