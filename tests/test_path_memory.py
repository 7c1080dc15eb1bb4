"""The memory of a process under bytes without end and large uploads."""

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from endless_builders import (
    ENDLESS_FRAMINGS,
    ENDLESS_HEADS,
    RawTarget,
    ask,
    ask_slowly,
    raw_targets,
    together,
    upload,
)
from memory_process import MEMORY_MB, MemoryProcess, nodes_in_a_process

pytestmark = pytest.mark.processes

CALLERS = 16
MAX_HEADS_MB = 30  # some segments of each connection
SLOW_CALLERS = 30
START_SECONDS = 0.1
SLOW_SECONDS = 4.0


def run_with_process(
    test: Callable[[list[RawTarget], MemoryProcess], Awaitable[None]],
) -> None:
    """Run a test with two nodes in a process and a target beside each."""

    async def run() -> None:
        async with raw_targets() as targets, nodes_in_a_process() as nodes:
            await test(targets, nodes)
            assert nodes.peak_mb < MEMORY_MB
            assert await ask('after') == 200

    asyncio.run(run())


async def ask_endless(number: int) -> int:
    """Return the status of a request whose answer never ends."""
    return await ask('e' * (number + 1), '/walks/endless')


async def upload_large(number: int, *, is_chunked: bool = False) -> int:
    """Return the status of an upload that may not be repeated."""
    return await upload('u' * (number + 1), is_chunked=is_chunked)


# Guards against targets whose endless answers end the process of a node.
@pytest.mark.parametrize('framing', ENDLESS_FRAMINGS)
def test_endless_answers_of_many_connections_fit_the_process(
    framing: str,
) -> None:
    """Callers at both nodes get such an answer at the same time."""

    async def test(targets: list[RawTarget], _nodes: MemoryProcess) -> None:
        for target in targets:
            target.framing = framing
        statuses = await together(CALLERS, ask_endless)
        assert set(statuses) <= {502, 503}

    run_with_process(test)


# Guards against heads, framing and trailers that are kept while they go on.
def test_endless_heads_of_many_connections_take_little() -> None:
    """Each is refused at once, one after the other."""

    async def test(targets: list[RawTarget], nodes: MemoryProcess) -> None:
        for framing in ENDLESS_HEADS:
            for target in targets:
                target.framing = framing
            statuses = await together(CALLERS, ask_endless)
            assert 502 in statuses, framing
            assert set(statuses) <= {502, 503}, framing
            assert nodes.peak_mb < nodes.base_mb + MAX_HEADS_MB, framing

    run_with_process(test)


# Guards against finished answers that are in no account of memory.
def test_large_answers_to_slow_callers_fit_the_process() -> None:
    """They get whole answers or a refusal; small ones are served meanwhile."""

    async def ask_late(number: int) -> int:
        await asyncio.sleep(START_SECONDS * number)
        return await ask_slowly('s' * (number + 1), wait=SLOW_SECONDS)

    async def test(_targets: list[RawTarget], _nodes: MemoryProcess) -> None:
        slow = asyncio.ensure_future(together(SLOW_CALLERS, ask_late))
        await asyncio.sleep(START_SECONDS * SLOW_CALLERS)
        assert await ask('meanwhile') == 200
        statuses = await slow
        assert set(statuses) <= {200, 502, 503}
        assert 200 in statuses

    run_with_process(test)


# Guards against uploads at one pace that pass the budget of bodies together.
@pytest.mark.parametrize('is_chunked', [False, True])
def test_uploads_at_one_pace_fit_the_process(*, is_chunked: bool) -> None:
    """No caller is ahead of the others for long."""

    async def test(_targets: list[RawTarget], _nodes: MemoryProcess) -> None:
        statuses = await together(
            CALLERS,
            lambda number: upload_large(number, is_chunked=is_chunked),
        )
        assert set(statuses) <= {200, 408, 503}
        assert 200 in statuses

    run_with_process(test)


# Guards against bounds that hold each for itself and not together.
def test_uploads_beside_endless_answers_fit_the_process() -> None:
    """Uploads, endless answers and small requests at the same time."""

    async def test(targets: list[RawTarget], _nodes: MemoryProcess) -> None:
        for target in targets:
            target.framing = 'chunks'
        uploads, answers = await asyncio.gather(
            together(CALLERS, upload_large), together(CALLERS, ask_endless)
        )
        assert 200 in uploads
        assert set(answers) <= {502, 503}

    run_with_process(test)
