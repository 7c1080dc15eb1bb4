"""Fetch and merge the time lines (recorded events) of all nodes."""

from typing import NamedTuple

import msgspec
import trio

from boragetrestle.session import Session
from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import BoragetrestleError
from boragetrestle_kernel.event_filter import EventFilter
from boragetrestle_kernel.timeline import Event

_MAX_CONCURRENT_REQUESTS = 32
_REQUEST_TIMEOUT_SECONDS = 3.0


class GatheredEvents(NamedTuple):
    """Events in order of time, and the nodes that did not answer."""

    events: list[Event]
    asked: int
    silent: tuple[str, ...]


async def gather_events(
    session: Session, event_filter: EventFilter
) -> GatheredEvents:
    """Return the matching events of all nodes listed in the table."""
    members = await session.operator.members()
    events: list[Event] = []
    silent: list[str] = []
    limiter = trio.CapacityLimiter(_MAX_CONCURRENT_REQUESTS)

    async def ask(node: str, address: Address) -> None:
        async with limiter:
            found = await _fetch_events(session, address, event_filter)
        if found is None:
            silent.append(node)
        else:
            events.extend(found)

    async with trio.open_nursery() as nursery:
        for member in members:
            for target in member.targets[:1]:
                address = Address.parse(target.node_admin)
                nursery.start_soon(ask, member.node, address)
    events.sort(key=lambda event: (event.micros, event.counter, event.node))
    newest = events[-event_filter.limit :]
    return GatheredEvents(newest, len(members), tuple(sorted(silent)))


async def _fetch_events(
    session: Session,
    address: Address,
    event_filter: EventFilter,
) -> list[Event] | None:
    with trio.move_on_after(_REQUEST_TIMEOUT_SECONDS):
        try:
            answer = await session.admin.send_request(
                address,
                b'POST',
                b'/v1/timeline',
                msgspec.json.encode(event_filter),
            )
            return msgspec.json.decode(answer, type=list[Event])
        except (BoragetrestleError, msgspec.DecodeError):
            return None
    return None
