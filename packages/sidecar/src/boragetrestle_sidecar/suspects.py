"""Stop requests that crash the targets which run them."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import xxhash

from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_sidecar.run_order import RunOrder

CRASHES_TO_BLOCK = 3  # a bystander seldom is at hand in three crashes
BLOCK_SECONDS = 60.0  # such a request comes again; targets restart in seconds
_MAX_SUSPECTS = 2000  # fingerprints remembered, about 200 KB


def fingerprint(organisation: str, target: bytes, body: bytes) -> str:
    """Return what a request that is sent again has in common with itself."""
    parts = (organisation.encode(), target, body)
    return xxhash.xxh64_hexdigest(b'\0'.join(parts))


def fingerprint_of(order: 'RunOrder') -> str:
    """Return the fingerprint of a run."""
    target = order.head.split(b' ', 2)[1]
    return fingerprint(order.organisation, target, order.body)


class Suspects:
    """Count the crashes at which a request was at hand, over all nodes.

    ``tell`` hands a crash, or that a suspect was answered, on to the other
    nodes. A request that a target has answered is cleared: one that crashes
    targets never is.
    """

    def __init__(self, *, clock: Callable[[], float] = steady_now) -> None:
        self.clock = clock
        self.crashes: dict[str, list[float]] = {}
        self.tell: Callable[[str, bool], None] | None = None

    def crashed(self, found: str, *, is_own: bool) -> None:
        """Count a crash that this node or another one saw."""
        if len(self.crashes) >= _MAX_SUSPECTS:
            self.crashes.pop(next(iter(self.crashes)))
        self.crashes.setdefault(found, []).append(self.clock())
        if is_own and self.tell is not None:
            self.tell(found, True)

    def answered(self, found: str, *, is_own: bool) -> None:
        """Clear a request that a target has answered."""
        known = self.crashes.pop(found, None)
        if known is not None and is_own and self.tell is not None:
            self.tell(found, False)

    def blocks(self, found: str) -> bool:
        """Return whether a request has crashed too many targets."""
        seen = self.crashes.get(found)
        if seen is None:
            return False
        is_recent = self.clock() - seen[-1] < BLOCK_SECONDS
        return is_recent and len(seen) >= CRASHES_TO_BLOCK
