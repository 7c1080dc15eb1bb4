"""A request whose whole body is in memory."""

from boragetrestle_kernel.http_server import HttpRequest
from boragetrestle_kernel.refusal import Refusal, RefusalCode, RefusedError
from boragetrestle_node.byte_budget import ByteBudget

MAX_BODY_BYTES = 1_048_576

_RETRY_SECONDS = 1.0


class BufferedRequest(HttpRequest):
    """A request with the same head as another and its body kept."""

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
    """Return the body; the caller gives its bytes back to the budget.

    Raises ``RefusedError`` for a body over the bound and when bodies of other
    calls use up the budget.
    """
    parts: list[bytes] = []
    count = 0
    try:
        async for part in request.chunks():
            if count + len(part) > MAX_BODY_BYTES:
                raise RefusedError(Refusal(RefusalCode.TOO_LARGE))
            if not budget.reserve(len(part)):
                raise RefusedError(
                    Refusal(RefusalCode.OVERLOADED, retry_after=_RETRY_SECONDS),
                )
            count += len(part)
            parts.append(part)
    except BaseException:
        budget.release(count)
        raise
    return b''.join(parts)
