"""Gather and merge the time lines of nodes."""

from typing import NamedTuple

import msgspec
import trio

from boragetrestle.session import Session
from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import BoragetrestleError
from boragetrestle_kernel.event_filter import EventFilter
from boragetrestle_kernel.timeline import Event

_MAX_AT_ONCE = 32
_ASK_SECONDS = 3.0


class Gathered(NamedTuple):
    """Events in order of time, and the nodes that did not answer."""

    events: list[Event]
    asked: int
    silent: tuple[str, ...]


async def gather(session: Session, wanted: EventFilter) -> Gathered:
    """Return the events of all nodes of the table that a filter matches."""
    members = await session.operator.members()
    events: list[Event] = []
    silent: list[str] = []
    limiter = trio.CapacityLimiter(_MAX_AT_ONCE)

    async def ask(node: str, address: Address) -> None:
        async with limiter:
            found = await _ask(session, address, wanted)
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
    newest = events[-wanted.limit :]
    return Gathered(newest, len(members), tuple(sorted(silent)))


async def _ask(
    session: Session,
    address: Address,
    wanted: EventFilter,
) -> list[Event] | None:
    with trio.move_on_after(_ASK_SECONDS):
        try:
            answer = await session.admin.ask(
                address,
                b'POST',
                b'/v1/timeline',
                msgspec.json.encode(wanted),
            )
            return msgspec.json.decode(answer, type=list[Event])
        except (BoragetrestleError, msgspec.DecodeError):
            return None
    return None
