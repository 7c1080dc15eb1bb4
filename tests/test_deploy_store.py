"""The client of the platform's store: epochs of its answers."""

import asyncio
from collections import deque
from collections.abc import Coroutine
from typing import Any

import msgspec
import pytest
from boragetrestle_deploy.store import PlatformStore

from boragetrestle_kernel.errors import (
    HistoryGoneError,
    OutcomeUnknownError,
    StoreError,
)
from boragetrestle_platform.table import Put, Transaction
from boragetrestle_sidecar.target_answer import TargetAnswer

WRITE = Transaction(checks=(), writes=(Put('a', b'x'),))


class ScriptedCaller:
    """A caller that returns prepared answers."""

    def __init__(self, *answers: TargetAnswer) -> None:
        self.answers = deque(answers)
        self.asked: list[str] = []

    async def call(self, *asked: object, **_options: object) -> TargetAnswer:
        """Return the next answer."""
        self.asked.append(' '.join(map(str, asked)))
        return self.answers.popleft()


def answer(
    epoch: str | None,
    *,
    status: int = 200,
    position: int = 5,
    has_more: bool = False,
    key: str = 'a',
) -> TargetAnswer:
    """Return an answer of the store with one row."""
    row = {'Key': key, 'Value': 'eA==', 'Ver': position}
    body = {'Rows': [row], 'Ver': position, 'HasMore': has_more}
    headers = [] if epoch is None else [(b'store-era', epoch.encode())]
    return TargetAnswer(status, headers, msgspec.json.encode(body), True)


EMPTY_PAGE = TargetAnswer(200, [], b'{"HasMore": true}', keeps_open=True)


def store_with(*answers: TargetAnswer) -> PlatformStore:
    """Return a client that gets these answers."""
    caller: Any = ScriptedCaller(*answers)
    return PlatformStore(caller)


def result_of(call: Coroutine[Any, Any, Any]) -> Any:
    """Return the result of a call."""
    return asyncio.run(call)


def test_epoch_comes_with_what_was_read() -> None:
    """Positions mean something within one epoch only."""
    store = store_with(answer('4'), answer('5'))
    assert result_of(store.view('t')).epoch == 4
    assert result_of(store.changes('t', 5, wait=0)).epoch == 5


def test_late_answer_of_an_earlier_epoch_is_dropped() -> None:
    """It may come over another connection."""
    store = store_with(answer('5'), answer('4'), answer('4'))
    result_of(store.view('t'))
    with pytest.raises(StoreError):
        result_of(store.view('t'))
    with pytest.raises(OutcomeUnknownError):
        result_of(store.commit('t', WRITE))


def test_pages_of_two_epochs_are_not_put_together() -> None:
    """The rows would be those of no moment."""
    store = store_with(answer('4', has_more=True), answer('5', key='b'))
    with pytest.raises(StoreError):
        result_of(store.view('t'))


# Guards against pages of a table that end the process or never end.
@pytest.mark.parametrize(
    'pages',
    [
        (EMPTY_PAGE,),
        (answer('4', key='b', has_more=True), answer('4', has_more=True)),
    ],
)
def test_page_that_does_not_go_on_is_refused(
    pages: tuple[TargetAnswer, ...],
) -> None:
    """The store says that there are more rows and sends none."""
    with pytest.raises(StoreError):
        result_of(store_with(*pages).view('t'))


def test_position_that_the_copy_does_not_have_is_lost_history() -> None:
    """The table has to be read whole."""
    store = store_with(answer('5', status=410))
    with pytest.raises(HistoryGoneError):
        result_of(store.changes('t', 900, wait=0))


@pytest.mark.parametrize('stated', [None, 'x', '-1'])
def test_answer_without_a_usable_epoch_is_an_unreachable_store(
    stated: str | None,
) -> None:
    """Nothing in it can be believed once epochs are stated."""
    store = store_with(answer('5'), answer(stated))
    result_of(store.view('t'))
    with pytest.raises(StoreError):
        result_of(store.view('t'))


def test_store_that_never_names_an_epoch_is_believed() -> None:
    """Older stores have none and never come back from a copy."""
    store = store_with(answer(None), answer(None))
    assert result_of(store.view('t')).epoch == 0
    assert result_of(store.commit('t', WRITE)).is_committed


def test_calls_name_the_part_of_a_table() -> None:
    """The store writes parts independently of each other."""
    caller: Any = ScriptedCaller(answer('1'), answer('1'))
    store = PlatformStore(caller)
    result_of(store.view('targets', part='10.0.0.1:7000'))
    result_of(store.commit('targets', WRITE, part='10.0.0.1:7000'))
    read, written = caller.asked
    assert 'Table=targets&part=10.0.0.1%3A7000' in read
    assert '"part":"10.0.0.1:7000"' in written
