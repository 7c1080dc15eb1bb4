"""Large bodies that many other nodes send to one guard."""

import asyncio
from typing import Any

from path_builders import run_order, settings
from test_path_peer_fuzz import Victim

from boragetrestle_kernel.address import Address
from boragetrestle_sidecar.outcome import Outcome, OutcomeKind
from boragetrestle_sidecar.peer_frames import (
    FrameKind,
    FrameReader,
    decode_fields,
    encode_frame,
)

NODES = 8
BODY_BYTES = 40_000_000
PART_BYTES = 1_000_000
SMALL_RUN = 7


def sent_runs(nodes: int, body_bytes: int) -> tuple[Victim, list[Any], int]:
    """Let nodes send a run each, at one pace; return the most that was held."""
    victim = Victim()
    greeting = victim.messages.hello_fields(Address('127.0.0.1', 9))
    found = [victim.connection() for _ in range(nodes)]
    order = run_order()._replace(body=bytes(body_bytes), time_left=30)
    sent = encode_frame(FrameKind.RUN, 1, order)
    for connection, _ in found:
        connection.data_received(encode_frame(FrameKind.HELLO, 0, greeting))
    most = 0
    for start in range(0, len(sent), PART_BYTES):
        for connection, _ in found:
            connection.data_received(sent[start : start + PART_BYTES])
        partial = sum(len(each.reader.buffer) for each, _ in found)
        jobs = [job for each, _ in found for job in each.jobs.values()]
        most = max(most, partial + sum(len(job.order.body) for job in jobs))
    return victim, found, most


def outcomes(transport: Any) -> dict[int, Outcome]:
    """Return the outcomes that were written, by the number of their run."""
    return {
        frame.number: decode_fields(frame, Outcome)
        for frame in FrameReader().feed(transport.written)
        if frame.kind is FrameKind.OUTCOME
    }


# Guards against bodies from other nodes that fill the memory of a guard.
def test_bodies_from_many_nodes_are_bounded_together() -> None:
    """Each node bounds only what it sends itself."""

    async def test() -> None:
        _victim, found, most = sent_runs(NODES, BODY_BYTES)
        assert most <= settings().memory_bytes // 2
        ended = [each for _, sent in found for each in outcomes(sent).values()]
        assert {each.kind for each in ended} == {OutcomeKind.NOT_SENT}
        running = [each for each, _ in found if each.jobs]
        assert len(ended) + len(running) == NODES
        assert running

    asyncio.run(test())


def test_link_goes_on_behind_a_run_that_was_refused() -> None:
    """The rest of the refused run is skipped."""

    async def test() -> None:
        _victim, found, _most = sent_runs(NODES, BODY_BYTES)
        refused = [each for each in found if outcomes(each[1])]
        for connection, transport in refused:
            small = run_order()._replace(time_left=0)
            connection.data_received(
                encode_frame(FrameKind.RUN, SMALL_RUN, small)
            )
            assert SMALL_RUN in outcomes(transport)
            assert not transport.is_closed

    asyncio.run(test())


def test_single_body_over_the_bound_is_run() -> None:
    """Its entry has let it pass."""

    async def test() -> None:
        size = settings().memory_bytes * 3 // 10
        victim, found, _most = sent_runs(1, size)
        connection, _transport = found[0]
        assert len(connection.jobs) == 1
        connection.connection_lost(None)
        assert victim.server.buffers.held_bytes == 0

    asyncio.run(test())
