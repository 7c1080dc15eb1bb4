"""Links to other nodes: WebSockets that carry CBOR messages."""

from collections.abc import Awaitable, Callable, Iterable
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import trio
from eliot import log_message
from websockets.http11 import Request, Response
from websockets.trio.server import ServerConnection, serve

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.clock import WallClock
from boragetrestle_kernel.errors import SettingsError, WireError
from boragetrestle_kernel.ids import NodeId
from boragetrestle_kernel.network import Network
from boragetrestle_kernel.peer_message import pack
from boragetrestle_kernel.timeline import EventKind, Timeline
from boragetrestle_node.peer_link import (
    ADDRESS_HEADER,
    MAX_MESSAGE_BYTES,
    PeerLink,
)
from boragetrestle_node.peer_proof import PROOF_HEADER, PeerProver

if TYPE_CHECKING:
    from boragetrestle_kernel.hybrid_clock import HybridClock

PeerHandler = Callable[[NodeId, Any], Awaitable[Any]]


class PeerLinks:
    """Send messages to nodes and hand received ones to their handlers.

    A handler gets the sending node and the message. What it returns, unless
    ``None``, answers a question. Handlers of one link run one after another,
    but for slow ones, which run beside them. A link carries messages both ways,
    whichever node dialed it.
    """

    def __init__(
        self,
        node: NodeId,
        *,
        network: Network,
        prover: PeerProver,
        clock: WallClock,
        timeline: Timeline,
    ) -> None:
        self.node = node
        self.network = network
        self.prover = prover
        self.clock = clock
        self.timeline = timeline
        self.handlers: dict[type, PeerHandler] = {}
        self.slow_kinds: set[type] = set()
        self.links: dict[Address, PeerLink] = {}
        self.address: Address | None = None
        self.sent_bytes = 0
        self.sent_messages = 0
        self.nursery: trio.Nursery | None = None

    @property
    def hybrid(self) -> 'HybridClock':
        """The clock that stamps messages and events."""
        return self.timeline.clock

    def on(
        self,
        kind: type,
        handler: PeerHandler,
        *,
        is_slow: bool = False,
    ) -> None:
        """Handle received messages of a kind.

        A handler that awaits messages of other nodes is slow.
        """
        self.handlers[kind] = handler
        if is_slow:
            self.slow_kinds.add(kind)

    def is_slow(self, message: Any) -> bool:
        """Return whether the handler of a message is slow."""
        return message.__class__ in self.slow_kinds

    def is_open(self, address: Address) -> bool:
        """Return whether there is a link, or one being dialed."""
        link = self.links.get(address)
        return link is not None and not link.is_closed

    def close(self, address: Address) -> None:
        """End the link to an address if there is one."""
        link = self.links.pop(address, None)
        if link is not None:
            link.close()

    def send(self, address: Address, message: Any) -> bool:
        """Queue a message for the node at an address.

        Returns whether it was queued; delivery is not certain either way.
        """
        return self._link(address).send(message)

    def broadcast(self, addresses: Iterable[Address], message: Any) -> None:
        """Queue the same message for the nodes at some addresses."""
        packed = pack(message, number=0, stamp=self.hybrid.tick())
        for address in addresses:
            self._link(address).send_packed(packed)

    async def ask(
        self,
        address: Address,
        message: Any,
        *,
        timeout: float,
    ) -> Any | None:
        """Return the reply of the node at an address, ``None`` without one."""
        return await self._link(address).ask(message, timeout=timeout)

    async def run(
        self,
        address: Address,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Accept links until cancelled."""
        self.address = address
        listener = await self.network.listen(address)
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await nursery.start(self._serve, listener)
            task_status.started()

    async def handle(self, node: NodeId, message: Any) -> Any | None:
        """Handle a received message; return the reply if there is one."""
        handler = self.handlers.get(type(message))
        if handler is None:
            raise WireError(f'{type(message).__name__} is unhandled')
        return await handler(node, message)

    def _link(self, address: Address) -> PeerLink:
        link = self.links.get(address)
        if link is None or link.is_closed:
            link = PeerLink(self, address)
            self.links[address] = link
            if self.nursery is not None:
                self.nursery.start_soon(link.dial)
        return link

    async def _serve(
        self,
        listener: trio.abc.Listener[trio.abc.Stream],
        *,
        task_status: trio.TaskStatus[Any] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        await serve(
            self._accepted,
            listeners=[listener],  # type: ignore[list-item]
            compression=None,
            max_size=MAX_MESSAGE_BYTES,
            ping_interval=None,
            process_request=self._check_dialer,
            process_response=self._prove,
            task_status=task_status,
        )

    def _check_dialer(
        self,
        socket: ServerConnection,
        request: Request,
    ) -> Response | None:
        proof = request.headers.get(PROOF_HEADER, '')
        try:
            self.prover.check(proof, now=self.clock.wall())
        except WireError as error:
            self.reject(str(error), '')
            return socket.respond(HTTPStatus.FORBIDDEN, '')
        return None

    def _prove(
        self,
        _socket: ServerConnection,
        request: Request,
        response: Response,
    ) -> None:
        proof = request.headers.get(PROOF_HEADER, '')
        response.headers[PROOF_HEADER] = self.prover.answer(proof, self.node)

    async def _accepted(self, socket: ServerConnection) -> None:
        assert socket.request is not None
        headers = socket.request.headers
        node = NodeId(headers[PROOF_HEADER].split(' ')[0])
        address = _address_of(headers.get(ADDRESS_HEADER, ''))
        link = PeerLink(self, address or Address('', 0))
        if address is not None and not self.is_open(address):
            self.links[address] = link
        await link.accept(socket, node)

    def reject(self, reason: str, node: str) -> None:
        """Record that a link was closed for a reason."""
        self.timeline.record(
            EventKind.LINK_REJECTED,
            reason=reason,
            subject=node,
        )
        log_message(message_type='link:rejected', reason=reason, peer=node)


def _address_of(text: str) -> Address | None:
    try:
        return Address.parse(text)
    except SettingsError:
        return None
