"""Requests that come while a node stops, from its first to its last moment."""

import pytest
from path_standins import Host, MemoryStore
from stop_builders import (
    StopRequest,
    StopWitness,
    expect_long_stop,
    read_slowly,
    send_during_stop,
)
from test_path_nodes import run_with_hosts

pytestmark = pytest.mark.loopback


# Guards against requests that a stopping node passes on and then cuts.
@pytest.mark.parametrize('time_left', [2000, 6000])
def test_request_late_in_a_stop_is_not_passed_on_and_cut(
    time_left: int,
) -> None:
    """A caller that reads slowly lets the stop last its whole grace period."""
    requests = [
        StopRequest(
            f'r-{number}',
            moment=0.1 + number * 0.3,
            is_kept=number % 2 == 0,
            may_repeat=number % 4 < 2,
            time_left=time_left,
        )
        for number in range(18)
    ]

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        expect_long_stop(hosts, run_seconds=1.5)
        witness = StopWitness(hosts)
        caller = await read_slowly(hosts[0])
        await send_during_stop(hosts[0], requests, witness)
        caller.close()
        assert len(witness.statuses) == len(requests)
        assert not witness.cut
        statuses = list(witness.statuses.values())
        assert statuses.count(200) >= 7
        assert set(statuses) <= {200, 503, None}

    run_with_hosts(test)
