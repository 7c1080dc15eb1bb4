"""Detect callers that send a request body too slowly."""

import trio

from boragetrestle_kernel.errors import SlowCallerError
from boragetrestle_kernel.http_limits import HttpLimits


class BodyRateCheck:
    """Enforce the minimum rate at which a request body must arrive.

    Only the time spent waiting for bytes counts: while back-pressure from a
    target stops reading, the caller is not blamed.
    """

    def __init__(self, limits: HttpLimits) -> None:
        self.limits = limits
        self.waited_seconds = 0.0
        self.received_bytes = 0

    @property
    def remaining_wait_seconds(self) -> float:
        """Seconds that may still be spent waiting for the caller."""
        earned_seconds = (
            self.received_bytes / self.limits.min_body_bytes_per_second
        )
        return (
            self.limits.body_grace_seconds
            + earned_seconds
            - self.waited_seconds
        )

    async def receive(
        self, stream: trio.abc.ReceiveStream, max_bytes: int
    ) -> bytes:
        """Return the next bytes; raise ``SlowCallerError`` if they are late."""
        started = trio.current_time()
        with trio.move_on_after(self.remaining_wait_seconds):
            arrived = bytes(await stream.receive_some(max_bytes))
            self.waited_seconds += trio.current_time() - started
            self.received_bytes += len(arrived)
            return arrived
        raise SlowCallerError(
            'the caller sends the request body too slowly',
            remedy=(
                f'send at least {self.limits.min_body_bytes_per_second} '
                'bytes a second'
            ),
        )
