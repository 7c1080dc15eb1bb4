"""A request whose whole body is in memory."""

from boragetrestle_kernel.http_server import HttpRequest
from boragetrestle_kernel.refusal import Refusal, RefusalCode, RefusedError
from boragetrestle_node.byte_budget import ByteBudget

MAX_BODY_BYTES = 1_048_576

_RETRY_AFTER_SECONDS = 1.0


class BufferedRequest(HttpRequest):
    """A copy of a request whose body has been read into memory."""

    def __init__(self, request: HttpRequest, body: bytes) -> None:
        self.connection = request.connection
        self.method = request.method
        self.target = request.target
        self.fields = request.fields
        self.trailers = request.trailers
        self.body = body
        self.buffered_body = body
        self.is_buffer_consumed = False
        self.is_whole = True


async def read_body(request: HttpRequest, budget: ByteBudget) -> bytes:
    """Read a body into memory and reserve its bytes in the budget.

    Whoever gets the body releases its bytes. Raises ``RefusedError`` for a body
    over ``MAX_BODY_BYTES`` and when other calls use up the budget.
    """
    parts: list[bytes] = []
    read_bytes = 0
    try:
        async for part in request.chunks():
            if read_bytes + len(part) > MAX_BODY_BYTES:
                raise RefusedError(Refusal(RefusalCode.TOO_LARGE))
            if not budget.reserve(len(part)):
                raise RefusedError(
                    Refusal(
                        RefusalCode.OVERLOADED, retry_after=_RETRY_AFTER_SECONDS
                    ),
                )
            read_bytes += len(part)
            parts.append(part)
    except BaseException:
        budget.release(read_bytes)
        raise
    return b''.join(parts)
