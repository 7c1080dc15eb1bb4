"""Links to other nodes: WebSockets that carry CBOR messages."""

from collections.abc import Awaitable, Callable
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

import trio
from eliot import log_message
from websockets.exceptions import ConnectionClosed
from websockets.http11 import Request, Response
from websockets.trio.server import ServerConnection, serve

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.clock import WallClock
from boragetrestle_kernel.errors import WireError
from boragetrestle_kernel.hybrid_clock import Stamp
from boragetrestle_kernel.ids import NodeId
from boragetrestle_kernel.network import Network
from boragetrestle_kernel.peer_message import pack, unpack
from boragetrestle_kernel.timeline import EventKind, Timeline
from boragetrestle_node.peer_link import MAX_MESSAGE_BYTES, PeerLink
from boragetrestle_node.peer_proof import PROOF_HEADER, PeerProver

if TYPE_CHECKING:
    from boragetrestle_kernel.hybrid_clock import HybridClock

PeerHandler = Callable[[NodeId, Any], Awaitable[Any]]


class PeerLinks:
    """Send messages to nodes and hand received ones to their handlers.

    A handler gets the sending node and the message. What it returns, unless
    ``None``, answers a question; handlers of one link run one after another.
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
        self.links: dict[Address, PeerLink] = {}
        self.sent_bytes = 0
        self.nursery: trio.Nursery | None = None

    @property
    def hybrid(self) -> 'HybridClock':
        """The clock that stamps messages and events."""
        return self.timeline.clock

    def on(self, kind: type, handler: PeerHandler) -> None:
        """Handle received messages of a kind."""
        self.handlers[kind] = handler

    def send(self, address: Address, message: Any) -> bool:
        """Queue a message for the node at an address.

        Returns whether it was queued; delivery is not certain either way.
        """
        return self._link(address).send(message)

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
        listener = await self.network.listen(address)
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            await nursery.start(self._serve, listener)
            task_status.started()

    async def handle(self, node: NodeId, raw: bytes) -> bytes | None:
        """Handle a received message; return the packed reply if one is due."""
        received = unpack(raw)
        self.hybrid.merge(Stamp(*received.stamp))
        handler = self.handlers.get(type(received.message))
        if handler is None:
            raise WireError(f'{type(received.message).__name__} is unhandled')
        reply = await handler(node, received.message)
        if not received.number or reply is None:
            return None
        return pack(
            reply,
            number=received.number,
            stamp=self.hybrid.tick(),
            is_reply=True,
        )

    def _link(self, address: Address) -> PeerLink:
        link = self.links.get(address)
        if link is None or link.is_closed:
            link = PeerLink(self, address)
            self.links[address] = link
            if self.nursery is not None:
                self.nursery.start_soon(link.run)
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
        node = NodeId(socket.request.headers[PROOF_HEADER].split(' ')[0])
        try:
            async for raw in socket:
                reply = await self.handle(node, _as_bytes(raw))
                if reply is not None:
                    self.sent_bytes += len(reply)
                    await socket.send(reply)
        except WireError as error:
            self.reject(str(error), node)
            await socket.aclose()
        except ConnectionClosed:
            return

    def reject(self, reason: str, node: str) -> None:
        """Record that a link was closed for a reason."""
        self.timeline.record(
            EventKind.LINK_REJECTED,
            reason=reason,
            subject=node,
        )
        log_message(message_type='link:rejected', reason=reason, peer=node)


def _as_bytes(raw: str | bytes) -> bytes:
    return raw.encode() if isinstance(raw, str) else raw
