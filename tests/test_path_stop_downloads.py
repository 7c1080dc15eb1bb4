"""Answers that callers read at their own pace while a node stops."""

import asyncio

import pytest
from path_standins import Host, MemoryStore
from stop_builders import DOWNLOAD_BYTES, expect_long_stop, read_at_pace
from test_path_nodes import run_with_hosts

from boragetrestle_sidecar.sidecar import MIN_STOP_SECONDS

CALLERS = 3


# Guards against answers that a stop cuts as soon as no request is open.
@pytest.mark.loopback
def test_stop_lets_callers_read_their_answers_at_an_even_pace() -> None:
    """Reading takes longer than the shortest stop, but not the whole grace."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        expect_long_stop(hosts, run_seconds=0.0)
        node = hosts[0].node
        reading = [
            asyncio.create_task(
                read_at_pace(
                    hosts[0], f'r-{number}', seconds=MIN_STOP_SECONDS + 2.2
                )
            )
            for number in range(CALLERS)
        ]
        await asyncio.sleep(0.5)
        await node.stop()
        for connection in list(node.entry.connections):
            assert connection.transport is not None
            connection.transport.abort()  # as the end of the process
        assert await asyncio.gather(*reading) == [DOWNLOAD_BYTES] * CALLERS

    run_with_hosts(test)
