"""Run the background tasks of a node and their steps."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING

from boragetrestle_sidecar.failure_trace import failure_trace

if TYPE_CHECKING:
    from boragetrestle_sidecar.decision_log import DecisionLog

RESTART_SECONDS = 0.5  # a task that fails at once must not fill the log


class BackgroundTasks:
    """Keep a task or step that fails from ending others.

    A fault of one connection, or one row of the store, would otherwise end the
    process, and with it the requests of all callers.
    """

    def __init__(self, log: 'DecisionLog') -> None:
        self.log = log
        self.tasks: set[asyncio.Task[None]] = set()

    def start(self, task: Callable[[], Awaitable[None]]) -> None:
        """Start a task that has no end; it is restarted if it fails."""
        loop = asyncio.get_running_loop()
        self.tasks.add(loop.create_task(self._repeat(task)))

    def cancel(self) -> None:
        """Cancel all tasks."""
        for task in self.tasks:
            task.cancel()

    def run_step(self, step: Callable[..., object], *arguments: object) -> None:
        """Run a step; log its exception."""
        try:
            step(*arguments)
        except Exception as error:
            self._log_failure('step-failed', error)

    async def _repeat(self, task: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await task()
            except Exception as error:
                self._log_failure('task-failed', error)
            await asyncio.sleep(RESTART_SECONDS)

    def _log_failure(self, kind: str, error: Exception) -> None:
        self.log.write_limited(
            kind, error=repr(error), trace=failure_trace(error)
        )
