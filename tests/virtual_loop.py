"""Run coroutines on a clock that moves on when all of them wait."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any


class _VirtualSelector(selectors.SelectSelector):
    """A selector that advances a clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout: float | None = None) -> Any:
        """Return what is ready; advance the clock if nothing is."""
        ready = super().select(0)
        if not ready and timeout:
            self.now += timeout
        return ready


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose timers cost no real time."""

    def __init__(self) -> None:
        self.virtual_selector = _VirtualSelector()
        super().__init__(self.virtual_selector)

    def time(self) -> float:
        """Return the virtual time."""
        return self.virtual_selector.now


def run_virtual(test: Coroutine[Any, Any, None]) -> None:
    """Run a test on a virtual clock; cancel the tasks that it leaves."""
    loop = VirtualLoop()
    try:
        loop.run_until_complete(test)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


def virtual_now() -> float:
    """Return the time of the running loop."""
    return asyncio.get_running_loop().time()
