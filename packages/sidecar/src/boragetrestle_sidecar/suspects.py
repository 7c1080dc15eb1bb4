"""Stop requests that crash the targets which run them."""

from collections.abc import Callable
from typing import TYPE_CHECKING

import xxhash

from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_sidecar.caller_request import CallerRequest

CRASHES_TO_BLOCK = 3  # a bystander seldom is at hand in three crashes
BLOCK_SECONDS = 60.0  # such a request comes again; targets restart in seconds
_MAX_SUSPECTS = 2000  # fingerprints remembered, about 200 KB


def fingerprint(target: bytes, body: bytes) -> str:
    """Return what a request that is sent again has in common with itself."""
    return xxhash.xxh64_hexdigest(target + b'\0' + body)


class Suspects:
    """Count the crashes at which a request was at hand, over all nodes.

    ``tell`` hands a crash on to the other nodes. A request that a target has
    answered is cleared.
    """

    def __init__(self, *, clock: Callable[[], float] = steady_now) -> None:
        self.clock = clock
        self.crashes: dict[str, list[float]] = {}
        self.tell: Callable[[str], None] | None = None

    def crashed(self, print_: str, *, is_own: bool) -> None:
        """Count a crash that this node or another one saw."""
        if len(self.crashes) >= _MAX_SUSPECTS:
            self.crashes.pop(next(iter(self.crashes)))
        self.crashes.setdefault(print_, []).append(self.clock())
        if is_own and self.tell is not None:
            self.tell(print_)

    def blocks(self, request: 'CallerRequest') -> bool:
        """Return whether a request has crashed too many targets."""
        if not self.crashes:
            return False
        seen = self.crashes.get(fingerprint(request.target, request.body))
        if seen is None:
            return False
        return (
            len(seen) >= CRASHES_TO_BLOCK
            and self.clock() - seen[-1] < BLOCK_SECONDS
        )
