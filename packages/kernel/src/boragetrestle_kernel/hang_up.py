"""Cancel work for callers that hang up."""

from collections.abc import Awaitable, Callable
from typing import Protocol, TypeVar

import trio

from boragetrestle_kernel.errors import HangUpError

_Result = TypeVar('_Result')


class Watchable(Protocol):
    """A connection that can tell when its other side has closed."""

    async def wait_hang_up(self) -> None:
        """Return once the other side has closed."""


async def while_connected(
    connection: Watchable,
    work: Callable[[], Awaitable[_Result]],
) -> _Result:
    """Return what the work returns; cancel it if the caller hangs up.

    Raises ``HangUpError`` after a hang-up, and what the work raises. Nothing else
    may read from the connection meanwhile.
    """
    results: list[_Result] = []
    failure: Exception | None = None
    async with trio.open_nursery() as nursery:
        scope = nursery.cancel_scope
        nursery.start_soon(_cancel_on_hang_up, connection, scope)
        try:
            results.append(await work())
        except Exception as error:
            failure = error
        scope.cancel()
    if failure is not None:
        raise failure
    if not results:
        raise HangUpError('the caller closed before its answer')
    return results[0]


async def _cancel_on_hang_up(
    connection: Watchable,
    scope: trio.CancelScope,
) -> None:
    await connection.wait_hang_up()
    scope.cancel()
