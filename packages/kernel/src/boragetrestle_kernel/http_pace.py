"""Find callers that send a body too slowly."""

import trio

from boragetrestle_kernel.errors import SlowCallerError
from boragetrestle_kernel.http_limits import HttpLimits


class BodyPace:
    """Compare the bytes of a body with the time spent waiting for them.

    Only waiting counts, so that back-pressure from a target is not held against
    the caller.
    """

    def __init__(self, limits: HttpLimits) -> None:
        self.limits = limits
        self.waited = 0.0
        self.received = 0

    @property
    def patience(self) -> float:
        """Seconds that the caller may still let the node wait."""
        earned = self.received / self.limits.body_rate
        return self.limits.body_grace_seconds + earned - self.waited

    async def receive(self, stream: trio.abc.ReceiveStream, size: int) -> bytes:
        """Return the next bytes; raise ``SlowCallerError`` if they are late."""
        started = trio.current_time()
        with trio.move_on_after(self.patience):
            arrived = bytes(await stream.receive_some(size))
            self.waited += trio.current_time() - started
            self.received += len(arrived)
            return arrived
        raise SlowCallerError(
            'the caller sends its body too slowly',
            remedy=f'send at least {self.limits.body_rate} bytes a second',
        )
