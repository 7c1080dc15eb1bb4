"""Track the slot leases that a guard has granted."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from boragetrestle_kernel.ids import NodeId


@dataclass(slots=True)
class LeaseEntry:
    """Slots leased to one node until a time on the trio clock.

    ``is_recalled`` is set if the node has been told that calls wait at the
    guard.
    """

    address: str
    slots: int
    busy: int
    wanted: int
    expires_at: float
    is_recalled: bool = False


OnLapse = Callable[[NodeId, LeaseEntry], None]


class LeaseBook:
    """Count the slots that are leased to other nodes.

    ``on_lapse`` is called for each lease with slots that expired.

    >>> book = LeaseBook(on_lapse=lambda node, entry: print(node, 'lapsed'))
    >>> entry = LeaseEntry('', slots=3, busy=1, wanted=3, expires_at=9)
    >>> book.replace_entry('n1', entry)
    >>> book.leased_slots(now=8), book.leased_slots(now=9)
    n1 lapsed
    (3, 0)
    """

    def __init__(self, *, on_lapse: OnLapse) -> None:
        self.on_lapse = on_lapse
        self.entries: dict[NodeId, LeaseEntry] = {}
        self.slots = 0
        self.next_expiry_at = math.inf

    def leased_slots(self, now: float) -> int:
        """Drop expired leases and return the slots still leased."""
        if now >= self.next_expiry_at:
            self._drop_expired(now)
        return self.slots

    def replace_entry(self, node: NodeId, entry: LeaseEntry) -> None:
        """Replace the node's entry; drop it if it has and wants no slots."""
        self.entries[node] = entry
        if not entry.slots and not entry.wanted:
            del self.entries[node]
        self._update_totals()

    def mark_recalled(self) -> list[str]:
        """Mark leases as recalled and return their holders' addresses."""
        entries = [
            entry
            for entry in self.entries.values()
            if entry.slots and not entry.is_recalled
        ]
        for entry in entries:
            entry.is_recalled = True
        return [entry.address for entry in entries]

    def _drop_expired(self, now: float) -> None:
        lapsed = {
            node: entry
            for node, entry in self.entries.items()
            if entry.expires_at <= now
        }
        for node, entry in lapsed.items():
            del self.entries[node]
            if entry.slots:
                self.on_lapse(node, entry)
        self._update_totals()

    def _update_totals(self) -> None:
        self.slots = sum(entry.slots for entry in self.entries.values())
        self.next_expiry_at = min(
            (entry.expires_at for entry in self.entries.values()),
            default=math.inf,
        )


def max_min_share(wanted_slots: Iterable[int], slots: float) -> float:
    """Return the max-min fair share of slots per node.

    >>> max_min_share([1, 10, 10], 9)
    4.0
    >>> max_min_share([1, 2], 9)
    inf
    """
    left = slots
    ordered = sorted(wanted for wanted in wanted_slots if wanted)
    for place, wanted in enumerate(ordered):
        share = left / (len(ordered) - place)
        if wanted > share:
            return share
        left -= wanted
    return math.inf
