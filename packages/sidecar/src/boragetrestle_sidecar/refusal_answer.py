"""Refusals: answers that a node generates in place of a target's."""

import json
from http import HTTPStatus
from typing import NamedTuple

from boragetrestle_sidecar.answer_head import reason_phrase
from boragetrestle_sidecar.outcome import Reason

_PROBLEM = b'application/problem+json'


class RefusalAnswer(NamedTuple):
    """The answer for one reason of refusal.

    ``not_run`` tells the caller that no target ran the request.
    """

    status: HTTPStatus
    not_run: bool


_OUTCOME_UNKNOWN = RefusalAnswer(HTTPStatus.BAD_GATEWAY, not_run=False)
_TRY_LATER = RefusalAnswer(HTTPStatus.SERVICE_UNAVAILABLE, not_run=True)

REFUSALS: dict[Reason, RefusalAnswer] = {
    Reason.QUEUE_FULL: _TRY_LATER,
    Reason.EXPIRED: _TRY_LATER,
    Reason.DRAINING: _TRY_LATER,
    Reason.NO_TARGET: _TRY_LATER,
    Reason.EVACUATED: _TRY_LATER,
    Reason.REGION: _TRY_LATER,
    Reason.UNREACHABLE: _TRY_LATER,
    Reason.TARGET_LIMIT: _TRY_LATER,
    Reason.TARGET_REJECTED: _TRY_LATER,
    Reason.CALLER_GONE: _TRY_LATER,
    Reason.STOPPING: _TRY_LATER,
    Reason.NO_CONFIGURATION: _TRY_LATER,
    Reason.SHORTAGE: _TRY_LATER,
    Reason.SUSPECT: _TRY_LATER,
    Reason.MEMORY_FULL: _TRY_LATER,
    Reason.RATE_EXCEEDED: RefusalAnswer(
        HTTPStatus.TOO_MANY_REQUESTS, not_run=True
    ),
    Reason.CONNECTION_LOST: _OUTCOME_UNKNOWN,
    Reason.ANSWER_GARBLED: _OUTCOME_UNKNOWN,
    Reason.NO_ROOM: _OUTCOME_UNKNOWN,
    Reason.LINK_LOST: _OUTCOME_UNKNOWN,
    Reason.INTERNAL: _OUTCOME_UNKNOWN,
    Reason.TIME_LIMIT: RefusalAnswer(HTTPStatus.GATEWAY_TIMEOUT, not_run=False),
    Reason.NO_ROUTE: RefusalAnswer(HTTPStatus.NOT_FOUND, not_run=True),
    Reason.KEY_UNKNOWN: RefusalAnswer(HTTPStatus.UNAUTHORIZED, not_run=True),
    Reason.MALFORMED: RefusalAnswer(HTTPStatus.BAD_REQUEST, not_run=True),
    Reason.TOO_LARGE: RefusalAnswer(
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
        not_run=True,
    ),
    Reason.BODY_STALLED: RefusalAnswer(
        HTTPStatus.REQUEST_TIMEOUT, not_run=True
    ),
    Reason.HEAD_TOO_LARGE: RefusalAnswer(
        HTTPStatus.REQUEST_HEADER_FIELDS_TOO_LARGE,
        not_run=True,
    ),
}


def refusal_bytes(
    reason: Reason,
    *,
    retry_after: float = 0.0,
    may_have_run: bool = False,
    keeps_open: bool = True,
    has_body: bool = True,
) -> bytes:
    """Build a refusal: a problem document with the reason as its code.

    With ``may_have_run``, a refusal that would state that the request has not
    run states an unknown outcome instead. ``retry_after`` is the seconds after
    which the caller may retry; 0 omits the header. The answer to a HEAD request
    has no body.

    >>> refusal_bytes(Reason.SHORTAGE, retry_after=0.5).splitlines()[0]
    b'HTTP/1.1 503 Service Unavailable'
    """
    refusal = REFUSALS[reason]
    if may_have_run and refusal.not_run:
        refusal = _OUTCOME_UNKNOWN
    run = 'not-run' if refusal.not_run else 'unknown'
    body = json.dumps({'code': reason.value, 'run': run}).encode()
    lines = [
        b'HTTP/1.1 %d %s' % (refusal.status, reason_phrase(refusal.status)),
        b'content-type: %s' % _PROBLEM,
        b'content-length: %d' % len(body),
    ]
    if retry_after > 0:
        lines.append(b'retry-after: %.2f' % retry_after)
    if not keeps_open:
        lines.append(b'connection: close')
    return b'\r\n'.join((*lines, b'', body if has_body else b''))
