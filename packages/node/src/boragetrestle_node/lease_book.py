"""The leases that a guard has granted."""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from boragetrestle_kernel.ids import NodeId


@dataclass(slots=True)
class LeaseEntry:
    """Slots that one node may use until a time on the clock of trio.

    ``is_recalled`` tells that the node knows that others wait.
    """

    address: str
    slots: int
    busy: int
    wanted: int
    lapses_at: float
    is_recalled: bool = False


OnLapse = Callable[[NodeId, LeaseEntry], None]


class LeaseBook:
    """Count the slots that other nodes may use.

    ``on_lapse`` is told of each lease with slots that was not renewed.

    >>> book = LeaseBook(on_lapse=lambda node, entry: print(node, 'lapsed'))
    >>> book.enter('n1', LeaseEntry('', slots=3, busy=1, wanted=3, lapses_at=9))
    >>> book.count(now=8), book.count(now=9)
    n1 lapsed
    (3, 0)
    """

    def __init__(self, *, on_lapse: OnLapse) -> None:
        self.on_lapse = on_lapse
        self.entries: dict[NodeId, LeaseEntry] = {}
        self.slots = 0
        self.next_lapse = math.inf

    def count(self, now: float) -> int:
        """Return the slots under leases that have not lapsed."""
        if now >= self.next_lapse:
            self._drop_lapsed(now)
        return self.slots

    def enter(self, node: NodeId, entry: LeaseEntry) -> None:
        """Put an entry in the place of the node's former one."""
        self.entries[node] = entry
        if not entry.slots and not entry.wanted:
            del self.entries[node]
        self._sum_up()

    def recall(self) -> list[str]:
        """Return the addresses of the nodes to be told that others wait."""
        entries = [
            entry
            for entry in self.entries.values()
            if entry.slots and not entry.is_recalled
        ]
        for entry in entries:
            entry.is_recalled = True
        return [entry.address for entry in entries]

    def _drop_lapsed(self, now: float) -> None:
        lapsed = {
            node: entry
            for node, entry in self.entries.items()
            if entry.lapses_at <= now
        }
        for node, entry in lapsed.items():
            del self.entries[node]
            if entry.slots:
                self.on_lapse(node, entry)
        self._sum_up()

    def _sum_up(self) -> None:
        self.slots = sum(entry.slots for entry in self.entries.values())
        self.next_lapse = min(
            (entry.lapses_at for entry in self.entries.values()),
            default=math.inf,
        )


def fair_level(wants: Iterable[int], slots: float) -> float:
    """Return the max-min fair share of slots among nodes that want some.

    >>> fair_level([1, 10, 10], 9)
    4.0
    >>> fair_level([1, 2], 9)
    inf
    """
    left = slots
    ordered = sorted(want for want in wants if want)
    for place, want in enumerate(ordered):
        share = left / (len(ordered) - place)
        if want > share:
            return share
        left -= want
    return math.inf
