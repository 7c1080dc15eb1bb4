"""What is known of a target outlasts the process beside it."""

import asyncio
from collections.abc import Callable

import msgspec
import pytest
from archive_builders import (
    ADDRESS,
    LEFT_AT,
    STARTED_AT,
    ArchiveHarness,
    saved_row,
)
from entry_builders import request_bytes
from hypothesis import given
from hypothesis import strategies as st
from path_builders import report
from path_standins import Host, MemoryStore
from test_path_nodes import call, is_linked, run_with_hosts, wait_until
from virtual_loop import run_virtual

from boragetrestle_kernel.ids import TargetId
from boragetrestle_sidecar.target_archive import (
    RECORD_KEY,
    REWRITE_SECONDS,
    TARGETS_TABLE,
)
from boragetrestle_sidecar.target_leaves import MAX_LEAVES
from boragetrestle_sidecar.target_notice import TargetNotice
from boragetrestle_sidecar.target_record import (
    MAX_SAVED_LEAVES,
    TargetRecord,
    decode_record,
)
from boragetrestle_sidecar.target_report import TargetState

TARGET = TargetId('t-1')
READY = report(started_at=STARTED_AT, sequence=5)
LATE = report(started_at=STARTED_AT, sequence=4)
DRAINING = report(started_at=STARTED_AT, sequence=6, state=TargetState.DRAINING)
HEARTBEAT_SECONDS = 1.5


def leave_by_call(process: ArchiveHarness) -> None:
    """Let a target that has reported leave."""
    process.guard.handle_heartbeat(READY)
    process.guard.handle_leaving(TARGET)


def leave_before_report(process: ArchiveHarness) -> None:
    """Let a target leave that has not reported to this process."""
    process.guard.handle_leaving(TARGET)


def leave_by_answer(process: ArchiveHarness) -> None:
    """Let a target say in an answer that it leaves."""
    process.guard.handle_heartbeat(READY)
    process.guard.reported_target.mark_leaving(TARGET)


def drain(process: ArchiveHarness) -> None:
    """Let a target report that it drains."""
    process.guard.handle_heartbeat(READY)
    process.guard.handle_heartbeat(DRAINING)


def hear_of_leave(process: ArchiveHarness) -> None:
    """Let another node tell what it remembers."""
    notice = TargetNotice(TARGET, STARTED_AT, is_leaving=True)
    process.guard.handle_notice(notice)


LEAVES: dict[str, Callable[[ArchiveHarness], None]] = {
    'by call': leave_by_call,
    'before its report': leave_before_report,
    'by answer': leave_by_answer,
    'drains': drain,
    'told by a peer': hear_of_leave,
}


# Guards against requests to a target that left before all nodes were killed.
@pytest.mark.parametrize('is_configured', [True, False])
@pytest.mark.parametrize('leave', LEAVES)
def test_leave_outlasts_all_nodes(leave: str, *, is_configured: bool) -> None:
    """A report from before it comes late to the next two processes."""

    async def test() -> None:
        process = ArchiveHarness(
            MemoryStore(), is_first_start=True, is_configured=is_configured
        )
        LEAVES[leave](process)
        for _ in range(2):
            process = await process.restart()
            process.guard.handle_heartbeat(LATE)
            assert not process.guard.is_open

    run_virtual(test())


# Guards against a target that is kept out once one with its id has left.
@pytest.mark.parametrize('leave', LEAVES)
def test_target_that_comes_back_is_used_at_its_first_report(
    leave: str,
) -> None:
    """It has its id and a later start; its node has restarted meanwhile."""

    async def test() -> None:
        process = ArchiveHarness(MemoryStore(), is_first_start=True)
        LEAVES[leave](process)
        process = await process.restart()
        process.guard.handle_heartbeat(report(started_at=LEFT_AT + 1))
        assert process.guard.is_open

    run_virtual(test())


# Guards against a late report of a crashed target that a new one has replaced.
@pytest.mark.parametrize(
    'following',
    [
        report(target='t-2', service='seats', started_at=STARTED_AT + 1),
        report(started_at=STARTED_AT + 1, cold_seconds=3.0),
        report(started_at=STARTED_AT, sequence=6, cold_seconds=3.0),
    ],
    ids=['of another service', 'under its id, cold', 'cold again'],
)
def test_late_report_of_an_earlier_state_is_not_used(
    following: object,
) -> None:
    """The node was killed after it had heard of the newer state."""

    async def test() -> None:
        process = ArchiveHarness(MemoryStore(), is_first_start=True)
        for found in (READY, following):
            process.guard.handle_heartbeat(found)  # type: ignore[arg-type]
        process = await process.restart()
        process.guard.handle_heartbeat(READY)
        assert process.guard.reported_target.report is None
        process.guard.handle_heartbeat(following)  # type: ignore[arg-type]
        assert process.guard.reported_target.report is following
        assert process.guard.is_open

    run_virtual(test())


# Guards against an acknowledged leave that only killed processes knew.
def test_leave_is_not_acknowledged_while_the_store_is_away() -> None:
    """The target says it again, and is acknowledged once the store is back."""

    async def test() -> None:
        store = MemoryStore()
        process = ArchiveHarness(store, is_first_start=True)
        store.is_away = True
        leave_by_call(process)
        assert not process.guard.is_open
        assert not await process.archive.wait_until_saved(0.8)
        store.is_away = False
        process.guard.handle_leaving(TARGET)
        assert await process.archive.wait_until_saved(2.0)
        assert saved_row(store) is not None

    run_virtual(test())


# Guards against an acknowledged drain that was held back and then forgotten.
def test_drain_is_not_acknowledged_before_the_record_is_read() -> None:
    """The node has restarted while the store is away."""

    async def test() -> None:
        store = MemoryStore()
        store.is_away = True
        process = ArchiveHarness(store)
        process.guard.handle_heartbeat(DRAINING)
        assert not await process.archive.wait_until_saved(0.8)
        store.is_away = False
        process.guard.handle_heartbeat(DRAINING)
        assert await process.archive.wait_until_saved(2.0)
        following = await process.restart()
        following.guard.handle_heartbeat(LATE)
        assert not following.guard.is_open

    run_virtual(test())


def test_write_whose_answer_is_lost_is_settled_by_reading() -> None:
    """It has happened, and is not repeated."""

    async def test() -> None:
        store = MemoryStore()
        process = ArchiveHarness(store, is_first_start=True)
        store.loses_answers = True
        leave_by_call(process)
        assert await process.archive.wait_until_saved(0.8)
        row = saved_row(store)
        assert row is not None
        assert row.version == 1

    run_virtual(test())


def test_leave_that_another_process_wrote_meanwhile_is_kept() -> None:
    """A write of the process before may come late."""

    async def test() -> None:
        store = MemoryStore()
        process = ArchiveHarness(store, is_first_start=True)
        other = TargetRecord(left={'t-0': STARTED_AT - 1})
        store.put(TARGETS_TABLE, RECORD_KEY, other.encode(), part=ADDRESS)
        leave_by_call(process)
        assert await process.archive.wait_until_saved(0.8)
        row = saved_row(store)
        assert row is not None
        assert decode_record(row.content).left.keys() == {'t-0', 't-1'}

    run_virtual(test())


# Guards against a leave that the copy from which the store came back lacks.
def test_record_is_written_again_after_the_store_comes_back_older() -> None:
    """Nodes that know nothing write nothing."""

    async def test() -> None:
        store = MemoryStore()
        process = ArchiveHarness(store, is_first_start=True)
        unaware = ArchiveHarness(store, address='10.0.0.2:7000')
        leave_by_call(process)
        await process.settle()
        store.restore(0)
        for each in (process, unaware):
            each.archive.check_epoch(store.epoch - 1)
            each.archive.check_epoch(store.epoch)
            await each.settle()
        assert saved_row(store) is None  # nodes don't write all at once
        await asyncio.sleep(REWRITE_SECONDS + 0.1)
        assert saved_row(store) is not None
        assert len(store.log) == 1

    run_virtual(test())


def test_first_report_waits_for_what_the_store_knows() -> None:
    """The store is slow; the report that was held back is used then."""

    async def test() -> None:
        process = ArchiveHarness(MemoryStore())
        process.guard.handle_heartbeat(READY)
        assert not process.guard.is_open
        await process.settle()
        assert process.guard.is_open

    run_virtual(test())


# Guards against reports delayed together, and a target out for an outage.
def test_second_report_is_used_while_the_store_is_away() -> None:
    """It comes a heartbeat after the first one, not right behind it."""

    async def test() -> None:
        store = MemoryStore()
        store.is_away = True
        process = ArchiveHarness(store)
        guard = process.guard
        guard.handle_heartbeat(LATE)
        guard.handle_heartbeat(READY)
        await asyncio.sleep(HEARTBEAT_SECONDS)
        assert not guard.is_open
        guard.handle_heartbeat(report(started_at=STARTED_AT, sequence=6))
        assert guard.is_open
        guard.handle_heartbeat(report(started_at=STARTED_AT + 1))
        assert guard.reported_target.report is not None
        assert guard.reported_target.report.started_at == STARTED_AT + 1

    run_virtual(test())


def test_record_that_comes_late_closes_the_guard() -> None:
    """The target has left, and two of its reports were late."""

    async def test() -> None:
        store = MemoryStore()
        first = ArchiveHarness(store, is_first_start=True)
        leave_by_call(first)
        await first.settle()
        store.is_away = True
        process = ArchiveHarness(store)
        for sequence in (3, 4):
            process.guard.handle_heartbeat(
                report(started_at=STARTED_AT, sequence=sequence)
            )
            await asyncio.sleep(HEARTBEAT_SECONDS)
        assert process.guard.is_open
        store.is_away = False
        await asyncio.sleep(HEARTBEAT_SECONDS)
        assert not process.guard.is_open

    run_virtual(test())


def test_leave_after_the_first_start_costs_one_call() -> None:
    """No row can be there; a further change is written after a read."""

    async def test() -> None:
        store = MemoryStore()
        process = ArchiveHarness(store, is_first_start=True)
        leave_by_call(process)
        assert await process.archive.wait_until_saved(0.8)
        assert store.calls == 1
        process.guard.handle_heartbeat(report(started_at=LEFT_AT + 1))
        await process.settle()
        assert store.calls == 3

    run_virtual(test())


def test_calm_restarts_write_nothing() -> None:
    """Calls to the store cost money: one read for each restart."""

    async def test() -> None:
        store = MemoryStore()
        process = ArchiveHarness(store, is_first_start=True)
        for sequence in range(1, 5):
            process.guard.handle_heartbeat(
                report(started_at=STARTED_AT, sequence=sequence)
            )
            assert process.guard.is_open
            process = await process.restart()
        assert store.calls == 4
        assert not store.log

    run_virtual(test())


@pytest.mark.parametrize(
    'content', [b'', b'null', b'{"started_at": -1}', b'{"left": [1]}', b'\xff']
)
def test_odd_record_is_refused_and_the_target_used(content: bytes) -> None:
    """Another writer may have left it; a leave replaces it."""

    async def test() -> None:
        store = MemoryStore()
        store.put(TARGETS_TABLE, RECORD_KEY, content, part=ADDRESS)
        process = ArchiveHarness(store)
        await process.settle()
        leave_by_call(process)
        assert await process.archive.wait_until_saved(0.8)
        assert 'target-record-refused' in process.log.kinds()
        row = saved_row(store)
        assert row is not None
        assert decode_record(row.content).left == {TARGET: STARTED_AT}

    run_virtual(test())


@given(content=st.binary(max_size=80))
def test_no_bytes_end_the_decoder(content: bytes) -> None:
    """They are a record or refused."""
    try:
        record = decode_record(content)
    except msgspec.DecodeError:
        return
    assert record.started_at >= 0


def test_saved_leaves_are_bounded() -> None:
    """Another writer may send leaves under any id; the newest is kept."""

    async def test() -> None:
        store = MemoryStore()
        process = ArchiveHarness(store, is_first_start=True)
        process.guard.handle_heartbeat(READY)
        for number in range(MAX_LEAVES):
            process.guard.handle_leaving(TargetId(f'x-{number}' * 40))
        process.guard.handle_leaving(TARGET)
        assert await process.archive.wait_until_saved(0.8)
        row = saved_row(store)
        assert row is not None
        assert len(row.content) < 4096
        record = decode_record(row.content)
        assert len(record.left_by) == MAX_SAVED_LEAVES
        assert record.left == {TARGET: STARTED_AT}

    run_virtual(test())


@pytest.mark.loopback
def test_leave_holds_over_a_kill_of_all_nodes() -> None:
    """The last report before it comes late, and no other node remembers."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        leaving, other = hosts
        target = report(target=f't-{leaving.ip}').target
        leaving.node.guard.handle_leaving(target)
        await asyncio.sleep(0.3)
        for host in hosts:
            host.kill_node()
        await asyncio.sleep(0.1)
        for host in hosts:
            await host.start_node()
        await wait_until(lambda: is_linked(leaving, 2) and is_linked(other, 2))
        runs = len(leaving.target.runs)
        leaving.report(sequence=2)
        other.report(sequence=2)
        for number in range(20):
            await call(other, request_bytes(f'r-{number}'))
        assert len(leaving.target.runs) == runs
        assert other.target.runs

    run_with_hosts(test)
