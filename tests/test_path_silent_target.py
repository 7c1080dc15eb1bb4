"""Connections to the target that go silent without a reset."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from dataclasses import replace

import pytest
from path_builders import NAMES, LineLog, report, run_order, settings
from path_standins import StandinTarget
from silent_sockets import silence

from boragetrestle_kernel.address import Address
from boragetrestle_sidecar.guard import Guard
from boragetrestle_sidecar.outcome import Outcome, OutcomeKind
from boragetrestle_sidecar.run_order import RunOrder
from boragetrestle_sidecar.steady_clock import steady_now

LONG_SECONDS = 8.0  # the time limit of runs
NOTICED_SECONDS = 2.5
pytestmark = pytest.mark.loopback


class SilentTarget:
    """A guard and its target over sockets that tests silence."""

    def __init__(self) -> None:
        self.address = Address('127.9.0.1', 7001)
        self.target = StandinTarget()
        self.guard = Guard(
            replace(settings(), target=self.address),
            NAMES,
            LineLog(steady_now),
        )

    def silence(self) -> None:
        """Let all open connections go silent; new ones work."""
        for connection in self.target.connections:
            assert connection.transport is not None
            silence(connection.transport.get_extra_info('socket')._sock)
            connection.is_mute = True
        self.target.connections.clear()

    def run(self, name: str) -> asyncio.Future[Outcome]:
        """Submit a run; return its outcome."""
        done: asyncio.Future[Outcome] = asyncio.Future()
        order: RunOrder = run_order(
            name, time_left=LONG_SECONDS, goal_left=LONG_SECONDS
        )
        head = b'GET /walks/1 HTTP/1.1\r\nhost: a\r\ncall-id: %s\r\n'
        order = order._replace(head=head % name.encode())
        self.guard.submit(order, done.set_result)
        return done

    async def ended(self, name: str) -> OutcomeKind:
        """Return how a run ended, which it has to in time."""
        async with asyncio.timeout(NOTICED_SECONDS):
            return (await self.run(name)).kind


@asynccontextmanager
async def silent_target() -> AsyncGenerator[SilentTarget, None]:
    """Start a target whose guard has an idle connection to it."""
    found = SilentTarget()
    await found.target.listen(found.address)
    found.guard.handle_heartbeat(
        replace(report(slots=8), address=found.address)
    )
    try:
        for place in range(3):
            assert await found.ended(f'first-{place}') is OutcomeKind.ANSWERED
        yield found
    finally:
        found.guard.pool.close()
        assert found.target.listener is not None
        found.target.listener.close()


def test_run_on_an_idle_connection_that_went_silent_ends_in_time() -> None:
    """Its outcome is unknown, and the next run is answered."""

    async def test() -> None:
        async with silent_target() as found:
            runs = [found.run(f'held-{place}') for place in range(3)]
            await asyncio.gather(*runs)
            assert len(found.guard.pool.idle) == 3
            found.silence()
            assert await found.ended('lost') is OutcomeKind.UNKNOWN
            assert await found.ended('next') is OutcomeKind.ANSWERED

    asyncio.run(test())


def test_run_under_way_when_its_connection_goes_silent_ends_in_time() -> None:
    """The target took the request and its answer is lost."""

    async def test() -> None:
        async with silent_target() as found:
            found.target.answers_after = 0.3
            under_way = found.run('under-way')
            await asyncio.sleep(0.1)
            found.silence()
            async with asyncio.timeout(NOTICED_SECONDS):
                outcome = await under_way
            assert outcome.kind is OutcomeKind.UNKNOWN
            assert not found.guard.running

    asyncio.run(test())


def test_slow_answer_over_a_sound_connection_is_awaited() -> None:
    """A target's silence alone is no reason to end a run."""

    async def test() -> None:
        async with silent_target() as found:
            found.target.answers_after = NOTICED_SECONDS + 1.5
            outcome = await found.run('slow')
            assert outcome.kind is OutcomeKind.ANSWERED

    asyncio.run(test())
