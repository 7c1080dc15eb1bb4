"""Handlers of messages between nodes other than runs and outcomes."""

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol

from boragetrestle_sidecar.node_status import NodeStatus, RouteCost
from boragetrestle_sidecar.peer_frames import Frame, FrameKind

if TYPE_CHECKING:
    from boragetrestle_kernel.address import Address
    from boragetrestle_sidecar.config_keeper import ConfigKeeper
    from boragetrestle_sidecar.fleet import Fleet
    from boragetrestle_sidecar.rate_gate import RateGate
    from boragetrestle_sidecar.suspects import Suspects

SendFrame = Callable[[FrameKind, int, object], bool]


class _Handler(Protocol):
    def __call__(
        self,
        messages: 'PeerMessages',
        frame: Frame,
        answer: SendFrame,
        peer: 'Address | None',
    ) -> None: ...


_HANDLERS: dict[FrameKind, _Handler] = {}


def _handles(kind: FrameKind) -> Callable[[_Handler], _Handler]:
    def register(handler: _Handler) -> _Handler:
        _HANDLERS[kind] = handler
        return handler

    return register


class PeerMessages:
    """Handle messages of peers: update this node's state or answer from it."""

    def __init__(
        self,
        *,
        address: str,
        fleet: 'Fleet',
        keeper: 'ConfigKeeper',
        rates: 'RateGate',
        suspects: 'Suspects',
    ) -> None:
        self.address = address
        self.fleet = fleet
        self.keeper = keeper
        self.rates = rates
        self.suspects = suspects

    def hello_fields(self) -> list[Any]:
        """Return the fields of the first message on a new connection."""
        return [self.address, self.keeper.version, list(self.fleet.members)]

    def handle(
        self,
        frame: Frame,
        answer: SendFrame,
        peer: 'Address | None',
    ) -> None:
        """Pass a message to the handler of its kind.

        ``answer`` sends a message back. Kinds without a handler are ignored.
        """
        handler = _HANDLERS.get(frame.kind)
        if handler is not None:
            handler(self, frame, answer, peer)

    def mark_unreachable(self, peer: 'Address') -> None:
        """Mark a peer as unreachable after its link was lost."""
        self.fleet.mark_unreachable(str(peer))


@_handles(FrameKind.HELLO)
def _handle_hello(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    address, version, members = frame.fields
    messages.fleet.add_announced(address)
    messages.fleet.add_peer_members(members)
    if version > messages.keeper.version:
        answer(FrameKind.ASK_CONFIGURATION, 0, [messages.keeper.version])


@_handles(FrameKind.STATUS)
def _update_status(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    received = NodeStatus(*frame.fields)
    costs = [RouteCost(*cost) for cost in received.costs]
    status = received._replace(costs=costs)
    messages.fleet.update_status(status)
    if messages.keeper.should_request(status.version):
        answer(FrameKind.ASK_CONFIGURATION, 0, [messages.keeper.version])


@_handles(FrameKind.ASK_CONFIGURATION)
def _send_configuration(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    configuration = messages.keeper.configuration
    if configuration is not None and configuration.version > frame.fields[0]:
        answer(FrameKind.CONFIGURATION, 0, [configuration.document])


@_handles(FrameKind.CONFIGURATION)
def _apply_configuration(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    messages.keeper.apply_if_newer(frame.fields[0], source='peer')


@_handles(FrameKind.ASK_TOKENS)
def _grant_tokens(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    name, asked = frame.fields
    granted = messages.rates.grant_tokens(name, asked)
    answer(FrameKind.GRANT_TOKENS, frame.number, [name, granted])


@_handles(FrameKind.GRANT_TOKENS)
def _receive_tokens(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    name, granted = frame.fields
    messages.rates.receive_tokens(name, granted, frame.number)


@_handles(FrameKind.SUSPECT)
def _record_suspect(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    found, has_crashed = frame.fields
    if has_crashed:
        messages.suspects.record_crash(found, is_own=False)
    else:
        messages.suspects.clear(found, is_own=False)
