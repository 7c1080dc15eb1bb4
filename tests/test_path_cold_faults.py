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


def cold_bench(connections: int) -> GuardHarness:
    """Return a guard of a warm target with idle connections."""
    bench = GuardHarness(slots=20, connections=connections)
    bench.guard.configure(
        configuration(cold_rates={ServiceName('walks'): COLD_RATE})
    )
    return bench


def end_connection(bench: GuardHarness) -> None:
    """Let the target end an idle connection."""
    bench.guard.pool.idle[0].connection_lost(ConnectionResetError())


# Guards against the full load of a target that restarted while nobody called.
def test_target_that_ends_all_connections_counts_as_cold() -> None:
    """Until its next report; the connection that is left shows that it runs."""
    bench = cold_bench(connections=3)
    end_connection(bench)
    end_connection(bench)
    assert bench.guard.terms.pace_limit is None
    end_connection(bench)
    assert bench.guard.terms.pace_limit == COLD_RATE
    bench.clock.now += 1.0
    bench.guard.handle_heartbeat(report(sequence=2, slots=20))
    assert bench.guard.terms.pace_limit is None


def test_connections_that_end_by_their_timeout_are_no_restart() -> None:
    """Targets close connections that have been idle for long."""
    bench = cold_bench(connections=1)
    bench.guard.pool.idle[0].idle_seconds = 5.0
    bench.clock.now += 5.0
    end_connection(bench)
    assert bench.guard.terms.pace_limit is None


def test_connections_that_the_node_closes_are_no_restart() -> None:
    """It closes those that the target may close soon."""
    bench = cold_bench(connections=2)
    closed = list(bench.guard.pool.idle)
    bench.guard.pool.close()
    for connection in closed:
        connection.connection_lost(None)
    assert bench.guard.terms.pace_limit is None


def test_target_that_still_runs_a_request_has_not_restarted() -> None:
    """Its connection would have ended as well."""
    bench = cold_bench(connections=2)
    bench.submit(run_order('r-1'))
    end_connection(bench)
    assert bench.guard.terms.pace_limit is None
