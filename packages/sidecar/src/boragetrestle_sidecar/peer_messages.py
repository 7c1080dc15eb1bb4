"""What nodes tell each other beside runs and outcomes."""

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
    """Answer a peer's messages from the state of this node."""

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

    def hello(self) -> list[Any]:
        """Return the fields of a greeting."""
        return [self.address, self.keeper.version, list(self.fleet.members)]

    def take(
        self,
        frame: Frame,
        answer: SendFrame,
        peer: 'Address | None',
    ) -> None:
        """Take a message; ``answer`` sends one back."""
        handler = _HANDLERS.get(frame.kind)
        if handler is not None:
            handler(self, frame, answer, peer)

    def lost(self, peer: 'Address') -> None:
        """Note that the link to a peer is down."""
        self.fleet.lost(str(peer))


@_handles(FrameKind.HELLO)
def _take_hello(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    address, version, members = frame.fields
    messages.fleet.announce(address)
    messages.fleet.suggest(members)
    if version > messages.keeper.version:
        answer(FrameKind.ASK_CONFIGURATION, 0, [messages.keeper.version])


@_handles(FrameKind.STATUS)
def _take_status(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    told = NodeStatus(*frame.fields)
    costs = [RouteCost(*cost) for cost in told.costs]
    status = told._replace(costs=costs)
    messages.fleet.take_status(status)
    if messages.keeper.misses(status.version):
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
def _take_configuration(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    messages.keeper.offer(frame.fields[0], source='peer')


@_handles(FrameKind.ASK_TOKENS)
def _grant_tokens(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    name, asked = frame.fields
    granted = messages.rates.grant(name, asked)
    answer(FrameKind.GRANT_TOKENS, frame.number, [name, granted])


@_handles(FrameKind.GRANT_TOKENS)
def _take_tokens(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    name, granted = frame.fields
    messages.rates.granted(name, granted, frame.number)


@_handles(FrameKind.SUSPECT)
def _take_suspect(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    found, has_crashed = frame.fields
    if has_crashed:
        messages.suspects.crashed(found, is_own=False)
    else:
        messages.suspects.answered(found, is_own=False)
