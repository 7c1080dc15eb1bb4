"""Bounded in-memory log of a node's recent events (its time line)."""

from collections import deque
from enum import Enum
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from boragetrestle_kernel.hybrid_clock import HybridClock

DEFAULT_RING_SIZE = 4096

_MAX_REASON_CHARACTERS = 256


class EventKind(Enum):
    """Kind of an event."""

    CALL_ENTERED = 'call-entered'
    CALL_SENT = 'call-sent'
    CALL_ANSWERED = 'call-answered'
    CALL_REFUSED = 'call-refused'
    CALL_ABANDONED = 'call-abandoned'
    CALL_RETRIED = 'call-retried'
    TARGET_JOINED = 'target-joined'
    TARGET_DRAINING = 'target-draining'
    TARGET_LEFT = 'target-left'
    TARGET_SUSPECTED = 'target-suspected'
    TARGET_EJECTED = 'target-ejected'
    TARGET_RETURNED = 'target-returned'
    CHANGE_IN_FORCE = 'change-in-force'
    REQUEST_SUSPECTED = 'request-suspected'
    REQUEST_QUARANTINED = 'request-quarantined'
    REQUEST_CLEARED = 'request-cleared'
    LEVEL_CHANGED = 'level-changed'
    LEASE_LAPSED = 'lease-lapsed'
    LIMIT_LOWERED = 'limit-lowered'
    SHARE_LAPSED = 'share-lapsed'
    SHARE_GRANTED = 'share-granted'
    STORE_LOST = 'store-lost'
    STORE_BACK = 'store-back'
    STORE_VIEW = 'store-view'
    LINK_REJECTED = 'link-rejected'
    FAULT = 'fault'


class Event(msgspec.Struct, frozen=True):
    """One event; ``micros`` and ``counter`` are its hybrid clock time."""

    micros: int
    counter: int
    node: str
    kind: EventKind
    reason: str = ''
    call: str = ''
    organisation: str = ''
    service: str = ''
    subject: str = ''


_CALL_KINDS = frozenset(
    kind for kind in EventKind if kind.value.startswith('call-')
)


class Timeline:
    """Keep the newest events of a node, bounded in number and length.

    ``call_events`` holds the events of calls and ``other_events`` all others,
    each up to ``size``, so that frequent call events do not evict rare ones.
    """

    def __init__(
        self,
        clock: 'HybridClock',
        *,
        node: str,
        size: int = DEFAULT_RING_SIZE,
    ) -> None:
        self.clock = clock
        self.node = node
        self.other_events: deque[Event] = deque(maxlen=size)
        self.call_events: deque[Event] = deque(maxlen=size)

    @property
    def events(self) -> list[Event]:
        """All stored events in order of time."""
        return sorted(
            (*self.other_events, *self.call_events),
            key=lambda event: (event.micros, event.counter),
        )

    def record(
        self,
        kind: EventKind,
        *,
        reason: str = '',
        call: str = '',
        organisation: str = '',
        service: str = '',
        subject: str = '',
    ) -> None:
        """Append an event with the current time."""
        stamp = self.clock.tick()
        ring = self.call_events if kind in _CALL_KINDS else self.other_events
        ring.append(
            Event(
                micros=stamp.micros,
                counter=stamp.counter,
                node=self.node,
                kind=kind,
                reason=reason[:_MAX_REASON_CHARACTERS],
                call=call,
                organisation=organisation,
                service=service,
                subject=subject,
            ),
        )
