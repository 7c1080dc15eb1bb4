"""Targets that write an earlier refusal once more."""

import asyncio
from typing import Any

import pytest
from entry_builders import request_bytes
from path_builders import GuardHarness, answer_bytes, run_order
from path_standins import Host, MemoryStore
from test_path_nodes import call, run_with_hosts, wait_until

from boragetrestle_sidecar.caller_request import CallerRequest
from boragetrestle_sidecar.endpoint_server import EndpointAnswer
from boragetrestle_sidecar.outcome import OutcomeKind
from boragetrestle_sidecar.server_connection import MAX_REFUSED_IDS
from boragetrestle_sidecar.target_report import TargetState

RUN_SECONDS = 0.1
REFUSAL = answer_bytes('r-1', b'', status=503, extra=b'not-run: 1\r\n')


def submit(bench: GuardHarness, name: str) -> Any:
    """Submit a run that must not run twice."""
    return bench.submit(run_order(name, may_repeat=False))


@pytest.mark.parametrize('comes', ['with it', 'while idle', 'during the next'])
@pytest.mark.parametrize('cut', [0, 9])
def test_refusal_that_is_repeated_answers_no_other_request(
    comes: str,
    cut: int,
) -> None:
    """The next request on the connection runs; it must not be told otherwise."""
    bench = GuardHarness(slots=9, connections=1)
    first = submit(bench, 'r-1')
    connection = first.connection
    copies = REFUSAL + REFUSAL[:cut]
    comes_with_it = copies if comes == 'with it' else b''
    connection.data_received(REFUSAL + comes_with_it)
    assert bench.outcomes['r-1'].kind is OutcomeKind.REJECTED
    if comes == 'while idle':
        connection.data_received(copies)
    bench.connect(1)
    second = submit(bench, 'r-2')
    if comes == 'during the next':
        second.connection.data_received(REFUSAL)
    assert 'r-2' not in bench.outcomes
    bench.answer(second)
    assert bench.outcomes['r-2'].kind is OutcomeKind.ANSWERED


# Guards against "not run" for a request that runs, and a second run of it.
def test_refusal_that_is_repeated_does_not_answer_the_same_id_again() -> None:
    """A caller may try again under the id that it had."""
    bench = GuardHarness(slots=9, connections=2)
    first = submit(bench, 'r-1')
    refused_on = first.connection
    refused_on.data_received(REFUSAL)
    del bench.outcomes['r-1']
    again = submit(bench, 'r-1')
    refused_on.data_received(REFUSAL)
    assert 'r-1' not in bench.outcomes
    bench.answer(again)
    assert bench.outcomes['r-1'].kind is OutcomeKind.ANSWERED


def test_connection_with_many_refusals_is_closed() -> None:
    """What a connection remembers is bounded."""
    bench = GuardHarness(slots=9, connections=1)
    for number in range(MAX_REFUSED_IDS + 1):
        job = submit(bench, f'r-{number}')
        bench.answer(job, status=503, extra=b'not-run: 1\r\n')
    assert bench.transports[0].is_closed
    assert not bench.guard.pool.idle


@pytest.mark.loopback
@pytest.mark.parametrize('second', [0, 1])
def test_refusal_that_is_repeated_answers_no_retry_through_another_node(
    second: int,
) -> None:
    """Both nodes send the same id to the same target."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        target = hosts[0].target
        hosts[1].report(sequence=2, state=TargetState.DRAINING)
        await wait_until(
            lambda: all(
                sum(view.is_open for view in host.node.fleet.guards_of('walks'))
                == 1
                for host in hosts
            )
        )
        target.answers_after = RUN_SECONDS

        def answer(_request: CallerRequest) -> EndpointAnswer | None:
            if len(target.runs) > 1:
                return EndpointAnswer(200, b'whole')
            transport = target.connections[-1].transport
            assert transport is not None
            loop = asyncio.get_running_loop()
            loop.call_soon(transport.write, REFUSAL)
            loop.call_later(RUN_SECONDS / 2, transport.write, REFUSAL)
            return None

        target.answer = answer
        buy = request_bytes('r-1', path='/buy/1')
        assert (await call(hosts[0], buy))[0] == 503
        assert await call(hosts[second], buy) == (200, b'whole')

    run_with_hosts(test)
