"""One link to another node, whichever side dialed it."""

import itertools
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import trio
from eliot import log_message
from websockets.exceptions import ConnectionClosed, WebSocketException
from websockets.trio.client import ClientConnection, connect
from websockets.trio.connection import Connection

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import DialError, WireError
from boragetrestle_kernel.hybrid_clock import Stamp
from boragetrestle_kernel.ids import NodeId
from boragetrestle_kernel.peer_message import Received, pack, unpack
from boragetrestle_node.peer_proof import PROOF_HEADER

if TYPE_CHECKING:
    from boragetrestle_node.peer_links import PeerLinks

MAX_MESSAGE_BYTES = 4_194_304
ADDRESS_HEADER = 'Boragetrestle-Address'

_QUEUE_MESSAGES = 256
_IDLE_SECONDS = 60.0
_DIAL_SECONDS = 2.0


class PeerLink:
    """Send messages to one node, await replies and hand on what arrives.

    The link closes when it breaks or stays idle; its owner then makes another.
    """

    def __init__(self, owner: 'PeerLinks', address: Address) -> None:
        self.owner = owner
        self.address = address
        self.is_closed = False
        self.scope = trio.CancelScope()
        self.numbers = itertools.count(1)
        self.replies: dict[int, trio.MemorySendChannel[Any]] = {}
        send, receive = trio.open_memory_channel[bytes](_QUEUE_MESSAGES)
        self.outbox = send
        self._inbox = receive

    def send(self, message: Any, *, number: int = 0) -> bool:
        """Queue a message; return whether there was room."""
        stamp = self.owner.hybrid.tick()
        return self.send_packed(pack(message, number=number, stamp=stamp))

    def send_packed(self, packed: bytes) -> bool:
        """Queue the bytes of a message; return whether there was room."""
        try:
            self.outbox.send_nowait(packed)
        except (trio.WouldBlock, trio.BrokenResourceError):
            return False
        return True

    async def ask(self, message: Any, *, timeout: float) -> Any | None:
        """Return the reply, or ``None`` without one in time (seconds)."""
        number = next(self.numbers)
        send, receive = trio.open_memory_channel[Any](1)
        self.replies[number] = send
        try:
            with trio.move_on_after(timeout):
                if self.send(message, number=number):
                    return await receive.receive()
        except trio.EndOfChannel:
            return None
        finally:
            self.replies.pop(number, None)
        return None

    def close(self) -> None:
        """End the link at once."""
        self.scope.cancel()

    async def dial(self) -> None:
        """Dial the node, then carry messages until the link ends."""
        try:
            with self.scope:
                await self._dial()
        except (DialError, OSError, trio.TooSlowError, WebSocketException):
            return
        except WireError as error:
            self.owner.reject(str(error), str(self.address))
        finally:
            self._end()

    async def accept(self, socket: Connection, node: NodeId) -> None:
        """Carry messages on a link that the other node dialed."""
        try:
            with self.scope:
                await self._carry(socket, node)
        finally:
            self._end()

    async def _dial(self) -> None:
        with trio.fail_after(_DIAL_SECONDS):
            stream = await self.owner.network.dial(self.address)
        proof = self.owner.prover.make(
            self.owner.node,
            now=self.owner.clock.wall(),
        )
        async with connect(
            f'ws://{self.address}/',
            stream=stream,
            compression=None,
            proxy=None,
            max_size=MAX_MESSAGE_BYTES,
            ping_interval=None,
            additional_headers={
                PROOF_HEADER: proof,
                ADDRESS_HEADER: str(self.owner.address or ''),
            },
            open_timeout=_DIAL_SECONDS,
        ) as socket:
            await self._carry(socket, self._check_listener(socket, proof))

    def _check_listener(self, socket: ClientConnection, proof: str) -> NodeId:
        assert socket.response is not None
        answer = socket.response.headers.get(PROOF_HEADER, '')
        return NodeId(self.owner.prover.check_answer(proof, answer))

    async def _carry(self, socket: Connection, node: NodeId) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._receive, socket, node, nursery)
            with suppress(ConnectionClosed, OSError):
                await self._send_queued(socket)
            nursery.cancel_scope.cancel()

    async def _send_queued(self, socket: Connection) -> None:
        while True:
            packed = b''
            with trio.move_on_after(_IDLE_SECONDS):
                packed = await self._inbox.receive()
            if not packed:
                return
            self.owner.sent_bytes += len(packed)
            self.owner.sent_messages += 1
            await socket.send(packed)

    async def _receive(
        self,
        socket: Connection,
        node: NodeId,
        nursery: trio.Nursery,
    ) -> None:
        try:
            async for raw in socket:
                await self._take(raw, node, nursery)
        except (ConnectionClosed, OSError):
            log_message(message_type='link:broken', peer=node)
        except WireError as error:
            self.owner.reject(str(error), node)
        nursery.cancel_scope.cancel()

    async def _take(
        self,
        raw: str | bytes,
        node: NodeId,
        nursery: trio.Nursery,
    ) -> None:
        received = unpack(raw if isinstance(raw, bytes) else raw.encode())
        self.owner.hybrid.merge(Stamp(*received.stamp))
        if received.is_reply:
            self._take_reply(received)
        elif self.owner.is_slow(received.message):
            nursery.start_soon(self._answer, node, received)
        else:
            await self._answer(node, received)

    def _take_reply(self, received: Received) -> None:
        waiting = self.replies.pop(received.number, None)
        if waiting is not None:
            waiting.send_nowait(received.message)

    async def _answer(self, node: NodeId, received: Received) -> None:
        reply = await self.owner.handle(node, received.message)
        if received.number and reply is not None:
            stamp = self.owner.hybrid.tick()
            number = received.number
            self.send_packed(
                pack(reply, number=number, stamp=stamp, is_reply=True),
            )

    def _end(self) -> None:
        self.is_closed = True
        self._inbox.close()
        for waiting in self.replies.values():
            waiting.close()
