"""Answer the repeat of a claimed call without running it."""

from http import HTTPStatus

from boragetrestle_kernel.http_server import HttpServerConnection
from boragetrestle_kernel.refusal import (
    Refusal,
    RefusalCode,
    RefusedError,
    RunState,
)
from boragetrestle_node.call import Call
from boragetrestle_node.claim_record import ClaimState, KeptAnswer
from boragetrestle_node.claim_table import FoundClaim
from boragetrestle_platform.object_store import ObjectStore

_MAX_RETRY_SECONDS = 5.0
_PART_BYTES = 65_536
_BODILESS = frozenset((HTTPStatus.NO_CONTENT, HTTPStatus.NOT_MODIFIED))


class ClaimReplay:
    """Answer repeats from what was kept of the first run."""

    def __init__(self, objects: ObjectStore) -> None:
        self.objects = objects

    async def answer(
        self,
        found: FoundClaim,
        call: Call,
        shown: str,
        connection: HttpServerConnection,
    ) -> None:
        """Send the kept answer.

        ``shown`` is the fingerprint of the repeat. Raises ``RefusedError`` if
        there is no answer to send and ``StoreError`` if it cannot be read.
        """
        record = found.claim.record
        if record.fingerprint != shown:
            raise RefusedError(
                Refusal(
                    RefusalCode.KEY_REUSED,
                    detail='the key was used with another request;'
                    ' send this one with a new key',
                ),
            )
        if record.state is ClaimState.RUNNING and not found.is_lapsed:
            left = record.until - found.store_time
            raise RefusedError(
                Refusal(
                    RefusalCode.CALL_RUNNING,
                    RunState.UNKNOWN,
                    retry_after=min(_MAX_RETRY_SECONDS, left),
                ),
            )
        if record.answer is None:
            raise _unknown('no outcome of the first run is known')
        await self._send(record.answer, call, connection)

    async def _send(
        self,
        answer: KeptAnswer,
        call: Call,
        connection: HttpServerConnection,
    ) -> None:
        body = await self._body(answer)
        fields = [
            *answer.fields,
            (b'boragetrestle-call', call.call_id.encode()),
            (b'boragetrestle-replayed', b'true'),
        ]
        if answer.status not in _BODILESS:
            fields.append((b'content-length', str(len(body)).encode()))
        await connection.send_head(answer.status, fields)
        for start in range(0, len(body), _PART_BYTES):
            await connection.send_data(body[start : start + _PART_BYTES])
        await connection.send_end()

    async def _body(self, answer: KeptAnswer) -> bytes:
        if not answer.is_kept:
            raise _unknown('the first run was answered, too large to keep')
        if not answer.object_name:
            return answer.body
        body = await self.objects.get(answer.object_name)
        if body is None:
            raise _unknown('the first run was answered; the answer expired')
        return body


def _unknown(detail: str) -> RefusedError:
    return RefusedError(
        Refusal(RefusalCode.OUTCOME_UNKNOWN, RunState.UNKNOWN, detail=detail),
    )
