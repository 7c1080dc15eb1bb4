"""Reports of another writer that come before a configuration is known."""

import asyncio
from typing import Any

import pytest
from archive_builders import ADDRESS, STARTED_AT, ArchiveHarness, saved_row
from path_builders import GuardHarness, report, run_order
from path_standins import MemoryStore
from virtual_loop import run_virtual

from boragetrestle_kernel.ids import TargetId
from boragetrestle_sidecar.held_reports import MAX_HELD_REPORTS
from boragetrestle_sidecar.target_archive import RECORD_KEY, TARGETS_TABLE
from boragetrestle_sidecar.target_notice import TargetNotice
from boragetrestle_sidecar.target_record import TargetRecord, decode_record
from boragetrestle_sidecar.target_report import TargetReport, TargetState

HEARTBEAT_SECONDS = 1.5
DRAINING = TargetState.DRAINING
FOREIGN: dict[str, dict[str, Any]] = {
    'ready': {'target': 'x-9'},
    'draining': {'target': 'x-9', 'state': DRAINING},
    'own id': {'target': 't-1'},
    'own id, draining': {'target': 't-1', 'state': DRAINING},
    'cold': {'target': 'x-9', 'cold_seconds': 1e6},
}


def foreign(kind: str, sequence: int) -> TargetReport:
    """Return a report of a later start, under a service without a route."""
    return report(
        service='nobody',
        started_at=STARTED_AT + 1000,
        sequence=sequence,
        **FOREIGN[kind],
    )


def own(sequence: int) -> TargetReport:
    """Return a report of the host's target."""
    return report(started_at=STARTED_AT, sequence=sequence)


async def hear_both(process: ArchiveHarness, kind: str, first: int) -> None:
    """Let the target and the other writer report for two heartbeats."""
    for sequence in range(first, first + 2):
        for found in (foreign(kind, sequence), own(sequence)):
            process.guard.handle_heartbeat(found)
        await process.settle()
        await asyncio.sleep(HEARTBEAT_SECONDS)


# Guards against a target that is kept out by reports from before it was known.
@pytest.mark.parametrize('is_store_away', [False, True])
@pytest.mark.parametrize('kind', FOREIGN)
def test_target_is_used_within_a_heartbeat_of_the_configuration(
    kind: str,
    *,
    is_store_away: bool,
) -> None:
    """The other writer goes on until then, and the store may come back last."""

    async def test() -> None:
        store = MemoryStore()
        process = ArchiveHarness(store, is_configured=False)
        store.is_away = is_store_away
        await hear_both(process, kind, 1)
        process.configure()
        process.guard.handle_heartbeat(own(3))
        assert process.guard.is_open
        store.is_away = False
        await asyncio.sleep(HEARTBEAT_SECONDS)
        found = process.guard.reported_target.report
        assert found is not None
        assert found.service == 'walks'
        assert process.guard.is_open

    run_virtual(test())


# Guards against a fleet that the store keeps out over restarts.
@pytest.mark.parametrize('kind', FOREIGN)
def test_foreign_report_leaves_nothing_for_the_next_process(kind: str) -> None:
    """All nodes are killed before a configuration comes."""

    async def test() -> None:
        process = ArchiveHarness(MemoryStore(), is_configured=False)
        await hear_both(process, kind, 1)
        process = await process.restart()
        process.configure()
        process.guard.handle_heartbeat(own(3))
        assert process.guard.is_open

    run_virtual(test())


# Guards against peers that keep a target out with what a foreign report said.
def test_foreign_drain_is_not_told_as_one_of_earlier_targets() -> None:
    """Only the one that reported it leaves."""

    async def test() -> None:
        process = ArchiveHarness(MemoryStore(), is_configured=False)
        await hear_both(process, 'draining', 1)
        notice = process.guard.notice
        assert notice is not None
        assert (notice.target, notice.drain_sequence) == ('x-9', None)
        following = ArchiveHarness(MemoryStore())
        await following.settle()
        following.guard.handle_notice(notice)
        following.guard.handle_heartbeat(own(3))
        assert following.guard.is_open

    run_virtual(test())


# Guards against rows and notices of builds that believed foreign reports.
@pytest.mark.parametrize('source', ['row', 'notice'])
def test_target_that_reports_on_outlives_what_earlier_builds_believed(
    source: str,
) -> None:
    """A single report may be late; the row is corrected."""

    async def test() -> None:
        store = MemoryStore()
        known = TargetRecord(STARTED_AT + 1000, 7)
        if source == 'row':
            store.put(TARGETS_TABLE, RECORD_KEY, known.encode(), part=ADDRESS)
        process = ArchiveHarness(store)
        await process.settle()
        if source == 'notice':
            process.guard.handle_notice(
                TargetNotice('x-9', STARTED_AT + 1000, drain_sequence=7)
            )
        process.guard.handle_heartbeat(own(1))
        assert not process.guard.is_open
        await asyncio.sleep(HEARTBEAT_SECONDS)
        process.guard.handle_heartbeat(own(2))
        assert process.guard.is_open
        await process.settle()
        row = saved_row(store)
        if source == 'row':
            assert row is not None
            assert decode_record(row.content).service == 'walks'
            process = await process.restart()
            process.guard.handle_heartbeat(own(3))
            assert process.guard.is_open

    run_virtual(test())


# Guards against requests that count as crashing a target that runs on.
def test_foreign_report_is_no_sign_of_a_crash() -> None:
    """A connection broke before it, which alone is no crash."""
    bench = GuardHarness()
    told: list[object] = []
    bench.guard.crash_watch.on_crash = told.extend
    job = bench.submit(run_order())
    job.connection.connection_lost(ConnectionResetError())
    bench.guard.handle_heartbeat(foreign('ready', 1))
    assert not told


def test_held_reports_are_bounded() -> None:
    """Another writer may report under any id."""

    async def test() -> None:
        process = ArchiveHarness(MemoryStore(), is_configured=False)
        for number in range(3 * MAX_HELD_REPORTS):
            process.guard.handle_heartbeat(report(target=f'x-{number}'))
            notice = TargetNotice(f'x-{number}', 1, drain_sequence=1)
            process.guard.handle_notice(notice)
        target = process.guard.reported_target
        assert len(target.held.held) == MAX_HELD_REPORTS
        assert len(target.drains.sequences) == MAX_HELD_REPORTS
        assert not target.knows(TargetId('x-0'))

    run_virtual(test())
