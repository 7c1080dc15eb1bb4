"""Block requests that repeatedly crash the targets that run them."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol

import xxhash

from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_sidecar.run_order import RunOrder

CRASHES_TO_BLOCK = 3  # an unrelated request is rarely present at three crashes
BLOCK_SECONDS = 60.0  # callers resend such requests; targets restart in seconds
_MAX_DOUBLINGS = 10  # of the time for which a request is blocked
MAX_COUNTED_CRASHES = CRASHES_TO_BLOCK + _MAX_DOUBLINGS
_MAX_SUSPECTS = 2000  # fingerprints remembered, about 200 KB


def fingerprint(organisation: str, target: bytes, body: bytes) -> str:
    """Return a hash that is the same whenever a request is sent again."""
    digest = xxhash.xxh64(b'%s\0%s\0' % (organisation.encode(), target))
    digest.update(body)  # apart, since joining would copy it
    return digest.hexdigest()


def block_seconds(crashes: int) -> float:
    """Return for how long a request is blocked after its newest crash.

    One that crashes another target when it is let through again is blocked for
    twice as long as before.

    >>> block_seconds(3), block_seconds(4)
    (60.0, 120.0)
    """
    further = max(0, min(crashes, MAX_COUNTED_CRASHES) - CRASHES_TO_BLOCK)
    return BLOCK_SECONDS * (1 << further)


def fingerprint_of(order: 'RunOrder') -> str:
    """Return the fingerprint of a run."""
    target = order.head.split(b' ', 2)[1]
    return fingerprint(order.organisation, target, order.body)


class _TurnListener(Protocol):
    def __call__(self, request_fingerprint: str, *, is_own: bool) -> None: ...


class Suspects:
    """Count crashes of targets while they ran a request, over all nodes.

    ``notify_nodes`` notifies the other nodes that a request was running at a
    crash (true) or that a suspected one was answered (false). A request is
    cleared once a target has answered it: one that crashes targets is never
    answered. ``is_own`` tells that this node saw the event itself. ``on_turned``
    is called when a request is blocked, again or for the first time, and when
    one that was is cleared.
    """

    def __init__(self, *, clock: Callable[[], float] = steady_now) -> None:
        self.clock = clock
        self.crashes: dict[str, list[float]] = {}
        self.notify_nodes: Callable[[str, bool], None] | None = None
        self.on_turned: _TurnListener | None = None

    def record_crash(self, request_fingerprint: str, *, is_own: bool) -> None:
        """Count a crash and notify other nodes if this one saw it."""
        if len(self.crashes) >= _MAX_SUSPECTS:
            self.crashes.pop(next(iter(self.crashes)))
        self.crashes.setdefault(request_fingerprint, []).append(self.clock())
        if is_own and self.notify_nodes is not None:
            self.notify_nodes(request_fingerprint, True)
        if self.is_blocked(request_fingerprint):
            self._tell_turned(request_fingerprint, is_own=is_own)

    def clear(self, request_fingerprint: str, *, is_own: bool) -> None:
        """Clear a request that a target answered and notify other nodes."""
        known = self.crashes.pop(request_fingerprint, None)
        if known is not None and is_own and self.notify_nodes is not None:
            self.notify_nodes(request_fingerprint, False)
        if known is not None and len(known) >= CRASHES_TO_BLOCK:
            self._tell_turned(request_fingerprint, is_own=is_own)

    def is_blocked(self, request_fingerprint: str) -> bool:
        """Return whether a request has crashed too many targets."""
        seen = self.crashes.get(request_fingerprint, ())
        return len(seen) >= CRASHES_TO_BLOCK and self.is_recent(
            request_fingerprint
        )

    def is_recent(self, request_fingerprint: str) -> bool:
        """Return whether the crashes of a request still count."""
        seen = self.crashes.get(request_fingerprint)
        if seen is None:
            return False
        return self.clock() - seen[-1] < block_seconds(len(seen))

    def _tell_turned(self, request_fingerprint: str, *, is_own: bool) -> None:
        if self.on_turned is not None:
            self.on_turned(request_fingerprint, is_own=is_own)
