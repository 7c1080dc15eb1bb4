"""Record an answer while it is streamed to the caller."""

from http import HTTPStatus

from boragetrestle_kernel.errors import CallerError
from boragetrestle_kernel.http_fields import Fields
from boragetrestle_kernel.http_server import HttpServerConnection
from boragetrestle_node.byte_budget import ByteBudget
from boragetrestle_node.claim_record import StoredAnswer

MAX_RECORDED_BODY_BYTES = 1_048_576

_UNRECORDED_FIELDS = frozenset((b'content-length', b'boragetrestle-call'))


class RecordingConnection(HttpServerConnection):
    """Pass an answer on to the caller and record it up to a size limit.

    The recording goes on if the caller disconnects, so that its repeat gets
    the complete answer.
    """

    def __init__(
        self,
        inner: HttpServerConnection,
        budget: ByteBudget,
    ) -> None:
        super().__init__(inner.stream, limits=inner.limits)
        inner.outlives_caller = True
        self.caller_connection = inner
        self.protocol = inner.protocol
        self.budget = budget
        self.status = 0
        self.fields: Fields = []
        self.body_parts: list[bytes] = []
        self.recorded_bytes = 0
        self.is_kept = True
        self.is_complete = False
        self.is_caller_disconnected = False

    def queue_head(self, status: int, fields: Fields) -> None:
        """Queue and record the head of the answer."""
        if status >= HTTPStatus.OK:
            self.status = status
            self.fields = [
                pair for pair in fields if pair[0] not in _UNRECORDED_FIELDS
            ]
        if not self.is_caller_disconnected:
            self.caller_connection.queue_head(status, fields)

    def queue_data(self, data: bytes) -> None:
        """Queue and record a part of the answer's body."""
        self._record(data)
        if not self.is_caller_disconnected:
            self.caller_connection.queue_data(data)

    def queue_end(self, trailers: Fields | None = None) -> None:
        """Queue the end of the answer and mark it as complete."""
        self.is_complete = True
        if not self.is_caller_disconnected:
            self.caller_connection.queue_end(trailers)

    async def flush(self) -> None:
        """Write what is queued, unless the caller has disconnected."""
        if self.is_caller_disconnected:
            return
        try:
            await self.caller_connection.flush()
        except CallerError:
            self.is_caller_disconnected = True

    def build_answer(self) -> StoredAnswer:
        """Build the answer to store from a complete recording."""
        return StoredAnswer(
            status=self.status,
            fields=self.fields,
            body=b''.join(self.body_parts),
            is_kept=self.is_kept,
        )

    def discard_body(self) -> None:
        """Discard the recorded body and release its bytes in the budget."""
        self.budget.release(self.recorded_bytes)
        self.body_parts = []
        self.recorded_bytes = 0

    def _record(self, data: bytes) -> None:
        fits = self.recorded_bytes + len(data) <= MAX_RECORDED_BODY_BYTES
        if self.is_kept and fits and self.budget.reserve(len(data)):
            self.recorded_bytes += len(data)
            self.body_parts.append(data)
            return
        self.is_kept = False
        self.discard_body()
