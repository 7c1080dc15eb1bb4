"""One dialed link to another node."""

import itertools
from typing import TYPE_CHECKING, Any

import trio
from websockets.exceptions import WebSocketException
from websockets.trio.client import ClientConnection, connect

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import DialError, WireError
from boragetrestle_kernel.hybrid_clock import Stamp
from boragetrestle_kernel.peer_message import pack, unpack
from boragetrestle_node.peer_proof import PROOF_HEADER

if TYPE_CHECKING:
    from boragetrestle_node.peer_links import PeerLinks

MAX_MESSAGE_BYTES = 4_194_304

_QUEUE_MESSAGES = 256
_IDLE_SECONDS = 60.0
_DIAL_SECONDS = 2.0


class PeerLink:
    """Send messages to one node and await replies.

    The link dials when it is made and closes when it breaks or stays idle; the
    owner then makes another.
    """

    def __init__(self, owner: 'PeerLinks', address: Address) -> None:
        self.owner = owner
        self.address = address
        self.is_closed = False
        self.numbers = itertools.count(1)
        self.replies: dict[int, trio.MemorySendChannel[Any]] = {}
        send, receive = trio.open_memory_channel[bytes](_QUEUE_MESSAGES)
        self.outbox = send
        self._inbox = receive

    def send(self, message: Any, *, number: int = 0) -> bool:
        """Queue a message; return whether there was room."""
        packed = pack(
            message,
            number=number,
            stamp=self.owner.hybrid.tick(),
        )
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

    async def run(self) -> None:
        """Carry messages until the link breaks or stays idle."""
        try:
            await self._carry()
        except (DialError, OSError, trio.TooSlowError, WebSocketException):
            return
        except WireError as error:
            self.owner.reject(str(error), str(self.address))
        finally:
            self.is_closed = True
            self._inbox.close()
            for waiting in self.replies.values():
                waiting.close()

    async def _carry(self) -> None:
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
            additional_headers={PROOF_HEADER: proof},
            open_timeout=_DIAL_SECONDS,
        ) as socket:
            self._check_listener(socket, proof)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._receive, socket)
                await self._send_queued(socket)
                nursery.cancel_scope.cancel()

    def _check_listener(self, socket: ClientConnection, proof: str) -> None:
        assert socket.response is not None
        answer = socket.response.headers.get(PROOF_HEADER, '')
        self.owner.prover.check_answer(proof, answer)

    async def _send_queued(self, socket: ClientConnection) -> None:
        while True:
            packed = b''
            with trio.move_on_after(_IDLE_SECONDS):
                packed = await self._inbox.receive()
            if not packed:
                return
            self.owner.sent_bytes += len(packed)
            await socket.send(packed)

    async def _receive(self, socket: ClientConnection) -> None:
        async for raw in socket:
            received = unpack(raw if isinstance(raw, bytes) else raw.encode())
            self.owner.hybrid.merge(Stamp(*received.stamp))
            waiting = self.replies.get(received.number)
            if waiting is not None and received.is_reply:
                waiting.send_nowait(received.message)
