"""Filter the events of a time line, a node's log of recent events."""

from collections import deque
from collections.abc import Iterable
from typing import Annotated

import msgspec

from boragetrestle_kernel.timeline import Event

_MAX_EVENTS = 10_000

Limit = Annotated[int, msgspec.Meta(ge=1, le=_MAX_EVENTS)]


class EventFilter(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Match events by exact field values; an empty value matches all.

    ``since`` is in microseconds since the epoch. Of the events that match, the
    newest ``limit`` are returned.
    """

    call: str = ''
    organisation: str = ''
    service: str = ''
    node: str = ''
    kind: str = ''
    since: int = 0
    limit: Limit = 1000

    def matches(self, event: Event) -> bool:
        """Return whether an event passes the filter."""
        if event.micros < self.since:
            return False
        pairs = (
            (self.call, event.call),
            (self.organisation, event.organisation),
            (self.service, event.service),
            (self.node, event.node),
            (self.kind, event.kind.value),
        )
        return all(wanted in {'', found} for wanted, found in pairs)

    def select(self, events: Iterable[Event]) -> list[Event]:
        """Return the newest events that match, in the given order."""
        return list(deque(filter(self.matches, events), maxlen=self.limit))
