"""Handlers of messages between nodes other than runs and outcomes."""

import math
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple, Protocol

from boragetrestle_kernel.errors import WireError
from boragetrestle_sidecar.evacuations import EvacuationState
from boragetrestle_sidecar.failure_trace import failure_trace
from boragetrestle_sidecar.member_table import MemberRow
from boragetrestle_sidecar.node_load import NodeLoad
from boragetrestle_sidecar.peer_frames import Frame, FrameKind, decode_fields
from boragetrestle_sidecar.target_notice import TargetNotice
from boragetrestle_sidecar.tree_messages import TreeReport

if TYPE_CHECKING:
    from boragetrestle_kernel.address import Address
    from boragetrestle_sidecar.config_keeper import ConfigKeeper
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.fleet import Fleet
    from boragetrestle_sidecar.rate_gate import RateGate
    from boragetrestle_sidecar.suspects import Suspects
    from boragetrestle_sidecar.tree_exchange import TreeExchange

SendFrame = Callable[[FrameKind, int, object], bool]


class Hello(NamedTuple):
    """The first message on a connection: who connects and what it has.

    ``notice`` is what it remembers of the target beside the node it connects
    to; on a connection messages arrive in order, so no run goes before it.
    """

    address: str
    version: int
    notice: TargetNotice | None = None
    evacuations: EvacuationState = EvacuationState()


class EvacuationMessage(NamedTuple):
    """A snapshot of evacuations from the node at ``source``."""

    source: str
    state: EvacuationState


class Rows(NamedTuple):
    """Rows of the table of nodes, from the node at ``source``."""

    source: str
    rows: list[MemberRow]


class Crash(NamedTuple):
    """A suspected request that crashed a target, or was answered by one.

    ``source`` is the node that passed the message on, ``crash`` the number of
    the event and ``found`` the fingerprint of the request.
    """

    source: str
    crash: int
    found: str
    has_crashed: bool


class TokenMessage(NamedTuple):
    """Rate limit tokens of an organisation that are asked for or granted."""

    organisation: str
    tokens: float


class Document(NamedTuple):
    """A configuration as operators wrote it."""

    content: bytes


class KnownVersion(NamedTuple):
    """The version of the configuration that the sender has."""

    version: int


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
    """Handle messages of peers: update this node's state or answer from it.

    ``own_load`` returns what this node tells entries about its guard;
    ``on_peer_heard`` is called with the version of a peer's configuration, and
    ``on_notice`` with what a peer remembers of the target beside this node.
    """

    def __init__(
        self,
        *,
        fleet: 'Fleet',
        keeper: 'ConfigKeeper',
        rates: 'RateGate',
        suspects: 'Suspects',
        tree: 'TreeExchange',
        own_load: Callable[[], NodeLoad],
        on_peer_heard: Callable[[int], None],
        on_notice: Callable[[TargetNotice], None],
        log: 'DecisionLog',
    ) -> None:
        self.log = log
        self.fleet = fleet
        self.keeper = keeper
        self.rates = rates
        self.suspects = suspects
        self.tree = tree
        self.own_load = own_load
        self.on_peer_heard = on_peer_heard
        self.on_notice = on_notice

    def hello_fields(self, peer: 'Address') -> Hello:
        """Return the fields of the first message on a connection to a peer."""
        notice = self.fleet.notices.get(str(peer))
        evacuations = self.fleet.evacuations.state
        return Hello(
            self.fleet.address, self.keeper.version, notice, evacuations
        )

    def handle(
        self,
        frame: Frame,
        answer: SendFrame,
        peer: 'Address | None',
    ) -> None:
        """Pass a message to the handler of its kind.

        ``answer`` sends a message back. Kinds without a handler are ignored.
        Raises ``WireError`` for a message with invalid fields. A fault in a
        handler is logged, since the runs on the connection need not end.
        """
        handler = _HANDLERS.get(frame.kind)
        if handler is None:
            return
        try:
            handler(self, frame, answer, peer)
        except WireError:
            raise
        except Exception as error:
            self.log.write_limited(
                'peer-message-failed',
                message=frame.kind.name,
                error=repr(error),
                trace=failure_trace(error),
            )

    def mark_unreachable(self, peer: 'Address') -> None:
        """Mark a peer as unreachable after its link was lost."""
        self.fleet.mark_unreachable(str(peer))

    def compare_version(self, version: int, answer: SendFrame) -> None:
        """Ask a peer for its configuration if it is newer and stays missing."""
        self.on_peer_heard(version)
        if self.keeper.should_request(version):
            answer(FrameKind.ASK_CONFIGURATION, 0, [self.keeper.version])


@_handles(FrameKind.HELLO)
def _handle_hello(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    hello = decode_fields(frame, Hello)
    messages.tree.apply_evacuations(hello.evacuations, source=hello.address)
    if hello.notice is not None:
        messages.on_notice(hello.notice)
    messages.compare_version(hello.version, answer)


@_handles(FrameKind.LOAD)
@_handles(FrameKind.PONG)
def _update_load(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    load = decode_fields(frame, NodeLoad)
    messages.fleet.update_load(load)
    messages.compare_version(load.version, answer)


@_handles(FrameKind.TREE_LOAD)
def _receive_from_child(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    report = decode_fields(frame, TreeReport)
    messages.on_peer_heard(report.version)
    messages.tree.receive_from_child(report, answer)


@_handles(FrameKind.TREE_TOTAL)
def _receive_from_parent(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    report = decode_fields(frame, TreeReport)
    messages.on_peer_heard(report.version)
    messages.tree.receive_from_parent(report)


@_handles(FrameKind.ROWS)
def _merge_rows(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    rows = decode_fields(frame, Rows)
    messages.tree.merge_rows(rows.rows, source=rows.source)


@_handles(FrameKind.EVACUATIONS)
def _apply_evacuations(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    message = decode_fields(frame, EvacuationMessage)
    messages.tree.apply_evacuations(message.state, source=message.source)


@_handles(FrameKind.ASK_CONFIGURATION)
def _send_configuration(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    known = decode_fields(frame, KnownVersion)
    configuration = messages.keeper.configuration
    if configuration is not None and configuration.version > known.version:
        answer(FrameKind.CONFIGURATION, 0, [configuration.document])


@_handles(FrameKind.CONFIGURATION)
def _apply_configuration(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    document = decode_fields(frame, Document)
    messages.keeper.apply_if_newer(document.content, source='peer')
    # Whether it was newer or not, the peer has none that is newer than this.
    messages.on_peer_heard(messages.keeper.version)


def _decode_tokens(frame: Frame) -> TokenMessage:
    message = decode_fields(frame, TokenMessage)
    if not 0 <= message.tokens < math.inf:
        raise WireError(
            f'a {frame.kind.name} frame from a peer has {message.tokens} tokens',
            remedy='run the same version on all nodes',
        )
    return message


@_handles(FrameKind.ASK_TOKENS)
def _grant_tokens(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    asked = _decode_tokens(frame)
    granted = messages.rates.grant_tokens(asked.organisation, asked.tokens)
    fields = TokenMessage(asked.organisation, granted)
    answer(FrameKind.GRANT_TOKENS, frame.number, fields)


@_handles(FrameKind.GRANT_TOKENS)
def _receive_tokens(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    granted = _decode_tokens(frame)
    messages.rates.receive_tokens(
        granted.organisation, granted.tokens, frame.number
    )


@_handles(FrameKind.SUSPECT)
def _record_suspect(
    messages: PeerMessages,
    frame: Frame,
    answer: SendFrame,
    peer: 'Address | None',
) -> None:
    event = decode_fields(frame, Crash)
    is_new = messages.tree.pass_crash_on(
        event.crash, event.found, event.has_crashed, source=event.source
    )
    if not is_new:
        return
    if event.has_crashed:
        messages.suspects.record_crash(event.found, is_own=False)
    else:
        messages.suspects.clear(event.found, is_own=False)
