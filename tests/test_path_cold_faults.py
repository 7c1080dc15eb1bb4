"""Cold targets that could still get more requests than they take."""

import asyncio
from typing import Any

import pytest
from path_builders import (
    GuardHarness,
    configuration,
    open_connection,
    report,
    run_order,
)

from boragetrestle_kernel.ids import ServiceName

COLD_RATE = 6.0
ALLOWED_IN_SECOND = COLD_RATE * 1.5 + 8


def cold_configuration() -> Any:
    """Return a configuration in which the service mail has a cold rate."""
    return configuration(
        cold_rates={ServiceName('walks'): 50.0, ServiceName('mail'): COLD_RATE}
    )


def test_cold_rate_is_that_of_the_service_that_the_target_reports() -> None:
    """A target of another service may take the place of the first."""
    bench = GuardHarness(slots=20)
    bench.guard.configure(cold_configuration())
    bench.guard.handle_heartbeat(
        report(service='mail', started_at=2, cold_seconds=3.0)
    )
    assert bench.guard.terms.pace_limit == COLD_RATE


def test_runs_that_connect_when_a_target_becomes_cold_are_counted(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """As many as the target has slots could reach it in one moment."""
    bench = GuardHarness(slots=60, connections=0)
    bench.guard.configure(
        configuration(cold_rates={ServiceName('walks'): COLD_RATE})
    )

    async def play() -> None:
        accepts = asyncio.Event()

        async def open_late() -> Any:
            await accepts.wait()
            connection, transport = open_connection()
            bench.transports.append(transport)
            return connection

        monkeypatch.setattr(bench.guard.pool, 'open', open_late)
        for number in range(50):
            bench.submit(run_order(f'r-{number}'))
        await asyncio.sleep(0)
        bench.guard.handle_heartbeat(
            report(slots=60, started_at=2, cold_seconds=3.0)
        )
        accepts.set()
        await asyncio.sleep(0.01)

    asyncio.run(play())
    assert bench.sent().count(b'GET ') <= ALLOWED_IN_SECOND
    assert bench.guard.running <= ALLOWED_IN_SECOND
