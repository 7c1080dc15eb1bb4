"""Answer the repeat of a claimed call without running it again."""

from http import HTTPStatus

from boragetrestle_kernel.http_server import HttpServerConnection
from boragetrestle_kernel.refusal import (
    Refusal,
    RefusalCode,
    RefusedError,
    RunState,
)
from boragetrestle_node.call import Call
from boragetrestle_node.claim_record import ClaimState, StoredAnswer
from boragetrestle_node.claim_table import FoundClaim
from boragetrestle_platform.object_store import ObjectStore

_MAX_RETRY_AFTER_SECONDS = 5.0
_CHUNK_BYTES = 65_536
_BODILESS_STATUSES = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class ClaimReplay:
    """Answer repeated calls with the stored answer of the first run."""

    def __init__(self, objects: ObjectStore) -> None:
        self.objects = objects

    async def answer_repeat(
        self,
        found: FoundClaim,
        call: Call,
        request_fingerprint: str,
        connection: HttpServerConnection,
    ) -> None:
        """Send the stored answer of the first run.

        ``request_fingerprint`` belongs to the repeat. Raises ``RefusedError``
        if it differs from that of the first run or if there is no answer to
        send, and ``StoreError`` if the answer cannot be read.
        """
        record = found.claim.record
        if record.fingerprint != request_fingerprint:
            raise RefusedError(
                Refusal(
                    RefusalCode.KEY_REUSED,
                    detail='the key was used with another request;'
                    ' send this one with a new key',
                ),
            )
        if record.state is ClaimState.RUNNING and not found.is_lapsed:
            remaining_seconds = record.until - found.store_time
            raise RefusedError(
                Refusal(
                    RefusalCode.CALL_RUNNING,
                    RunState.UNKNOWN,
                    retry_after=min(
                        _MAX_RETRY_AFTER_SECONDS, remaining_seconds
                    ),
                ),
            )
        if record.answer is None:
            raise _build_unknown_outcome('no outcome of the first run is known')
        await self._send_answer(record.answer, call, connection)

    async def _send_answer(
        self,
        answer: StoredAnswer,
        call: Call,
        connection: HttpServerConnection,
    ) -> None:
        body = await self._load_body(answer)
        fields = [
            *answer.fields,
            (b'boragetrestle-call', call.call_id.encode()),
            (b'boragetrestle-replayed', b'true'),
        ]
        if answer.status not in _BODILESS_STATUSES:
            fields.append((b'content-length', str(len(body)).encode()))
        await connection.send_head(answer.status, fields)
        for start in range(0, len(body), _CHUNK_BYTES):
            await connection.send_data(body[start : start + _CHUNK_BYTES])
        await connection.send_end()

    async def _load_body(self, answer: StoredAnswer) -> bytes:
        if not answer.is_kept:
            raise _build_unknown_outcome(
                'the first run was answered, too large to keep'
            )
        if not answer.object_name:
            return answer.body
        body = await self.objects.get(answer.object_name)
        if body is None:
            raise _build_unknown_outcome(
                'the first run was answered; the answer expired'
            )
        return body


def _build_unknown_outcome(detail: str) -> RefusedError:
    return RefusedError(
        Refusal(RefusalCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, detail=detail),
    )
