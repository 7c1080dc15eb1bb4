"""A connection that records the answer while it streams to the caller."""

from http import HTTPStatus

from boragetrestle_kernel.errors import CallerError
from boragetrestle_kernel.http_fields import Fields
from boragetrestle_kernel.http_server import HttpServerConnection
from boragetrestle_node.byte_budget import ByteBudget
from boragetrestle_node.claim_record import KeptAnswer

MAX_ANSWER_BYTES = 1_048_576

_DROPPED = frozenset((b'content-length', b'boragetrestle-call'))


class RecordingConnection(HttpServerConnection):
    """Send an answer on and keep it up to a bound.

    A caller that goes away does not stop the recording, so that its repeat
    gets the whole answer.
    """

    def __init__(
        self,
        inner: HttpServerConnection,
        budget: ByteBudget,
    ) -> None:
        super().__init__(inner.stream, limits=inner.limits)
        inner.outlives_caller = True
        self.inner = inner
        self.protocol = inner.protocol
        self.budget = budget
        self.status = 0
        self.fields: Fields = []
        self.parts: list[bytes] = []
        self.count = 0
        self.is_kept = True
        self.is_whole = False
        self.is_caller_gone = False

    def queue_head(self, status: int, fields: Fields) -> None:
        """Queue and keep the head of the answer."""
        if status >= HTTPStatus.OK:
            self.status = status
            self.fields = [pair for pair in fields if pair[0] not in _DROPPED]
        if not self.is_caller_gone:
            self.inner.queue_head(status, fields)

    def queue_data(self, data: bytes) -> None:
        """Queue and keep a part of the answer's body."""
        self._keep(data)
        if not self.is_caller_gone:
            self.inner.queue_data(data)

    def queue_end(self, trailers: Fields | None = None) -> None:
        """Queue the end of the answer, which is whole from now on."""
        self.is_whole = True
        if not self.is_caller_gone:
            self.inner.queue_end(trailers)

    async def flush(self) -> None:
        """Write what is queued, unless the caller has gone."""
        if self.is_caller_gone:
            return
        try:
            await self.inner.flush()
        except CallerError:
            self.is_caller_gone = True

    def take_answer(self) -> KeptAnswer:
        """Return what was kept of a whole answer."""
        return KeptAnswer(
            status=self.status,
            fields=self.fields,
            body=b''.join(self.parts),
            is_kept=self.is_kept,
        )

    def free(self) -> None:
        """Forget the body and give its bytes back to the budget."""
        self.budget.release(self.count)
        self.parts = []
        self.count = 0

    def _keep(self, data: bytes) -> None:
        fits = self.count + len(data) <= MAX_ANSWER_BYTES
        if self.is_kept and fits and self.budget.reserve(len(data)):
            self.count += len(data)
            self.parts.append(data)
            return
        self.is_kept = False
        self.free()
