"""Refusals: answers of the node itself, as RFC 9457 problem documents."""

from enum import Enum
from http import HTTPStatus
from typing import NamedTuple, Self

import msgspec

from boragetrestle_kernel.http_fields import Fields, find_field

CONTENT_TYPE = b'application/problem+json'
CODE_FIELD = b'boragetrestle-code'
RUN_FIELD = b'boragetrestle-run'

_RETRY_AFTER_FIELD = b'retry-after'


class RunState(Enum):
    """Whether a refused call may have reached a target."""

    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'


class RefusalCode(Enum):
    """Stable code that tells a program why a call was refused."""

    NO_ROUTE = 'no-route'
    NOT_AUTHORISED = 'not-authorised'
    BAD_REQUEST = 'bad-request'
    RATE_EXCEEDED = 'rate-exceeded'
    OVERLOADED = 'overloaded'
    DEPENDENCY_OVERLOADED = 'dependency-overloaded'
    NO_TARGET = 'no-target'
    TARGET_FAILED = 'target-failed'
    ANSWER_LOST = 'answer-lost'
    DEADLINE = 'deadline-exceeded'
    ATTEMPTS_SPENT = 'attempts-spent'
    QUARANTINED = 'request-quarantined'
    NODE_ISOLATED = 'node-isolated'
    NODE_DRAINING = 'node-draining'
    STORE_UNAVAILABLE = 'store-unavailable'
    KEY_REQUIRED = 'idempotency-key-required'
    KEY_REUSED = 'idempotency-key-reused'
    CALL_RUNNING = 'call-running'
    OUTCOME_UNKNOWN = 'outcome-unknown'
    TOO_LARGE = 'request-too-large'
    TOO_MANY_CONNECTIONS = 'too-many-connections'


_STATUS_BY_CODE: dict[RefusalCode, HTTPStatus] = {
    RefusalCode.NO_ROUTE: HTTPStatus.NOT_FOUND,
    RefusalCode.NOT_AUTHORISED: HTTPStatus.UNAUTHORIZED,
    RefusalCode.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    RefusalCode.RATE_EXCEEDED: HTTPStatus.TOO_MANY_REQUESTS,
    RefusalCode.TARGET_FAILED: HTTPStatus.BAD_GATEWAY,
    RefusalCode.ANSWER_LOST: HTTPStatus.BAD_GATEWAY,
    RefusalCode.DEADLINE: HTTPStatus.GATEWAY_TIMEOUT,
    RefusalCode.KEY_REQUIRED: HTTPStatus.BAD_REQUEST,
    RefusalCode.KEY_REUSED: HTTPStatus.UNPROCESSABLE_ENTITY,
    RefusalCode.CALL_RUNNING: HTTPStatus.CONFLICT,
    RefusalCode.OUTCOME_UNKNOWN: HTTPStatus.CONFLICT,
    RefusalCode.TOO_LARGE: HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
}


_CODE_BY_FIELD: dict[bytes, RefusalCode] = {
    code.value.encode(): code for code in RefusalCode
}
_NOT_RUN = RunState.NOT_RUN.value.encode()


class Refusal(NamedTuple):
    """A final answer that boragetrestle gives in place of a target.

    ``retry_after`` is in seconds.
    """

    code: RefusalCode
    run_state: RunState = RunState.NOT_RUN
    detail: str = ''
    retry_after: float | None = None

    @property
    def status(self) -> int:
        """The HTTP status of the refusal."""
        return _STATUS_BY_CODE.get(
            self.code, HTTPStatus.SERVICE_UNAVAILABLE
        ).value

    def headers(self) -> list[tuple[bytes, bytes]]:
        """Return the header fields of the answer."""
        fields = [
            (b'content-type', CONTENT_TYPE),
            (CODE_FIELD, self.code.value.encode()),
            (RUN_FIELD, self.run_state.value.encode()),
        ]
        if self.retry_after is not None:
            seconds = max(1, round(self.retry_after))
            fields.append((_RETRY_AFTER_FIELD, str(seconds).encode()))
        return fields

    @classmethod
    def from_fields(cls, fields: Fields) -> Self | None:
        """Return the refusal that header fields describe, ``None`` without one.

        >>> sent = Refusal(RefusalCode.OVERLOADED, retry_after=2)
        >>> Refusal.from_fields(sent.headers()) == sent
        True
        >>> Refusal.from_fields([(b'boragetrestle-code', b'other')]) is None
        True
        """
        code = _CODE_BY_FIELD.get(find_field(fields, CODE_FIELD))
        if code is None:
            return None
        is_not_run = find_field(fields, RUN_FIELD) == _NOT_RUN
        return cls(
            code,
            RunState.NOT_RUN if is_not_run else RunState.UNKNOWN,
            retry_after=parse_retry_after(fields),
        )

    def body(self, *, call_id: str = '') -> bytes:
        """Return the problem document.

        >>> Refusal(RefusalCode.NO_ROUTE).body(call_id='c1').decode()[:30]
        '{"type":"urn:boragetrestle:no-'
        """
        return msgspec.json.encode({
            'type': f'urn:boragetrestle:{self.code.value}',
            'title': self.code.value.replace('-', ' '),
            'status': self.status,
            'detail': self.detail,
            'code': self.code.value,
            'run': self.run_state.value,
            'call': call_id,
        })


def parse_retry_after(fields: Fields) -> float | None:
    """Return the seconds in ``Retry-After``, ``None`` without such a number."""
    seconds = find_field(fields, _RETRY_AFTER_FIELD)
    return float(seconds) if seconds.isdigit() else None


def says_not_run(fields: Fields) -> bool:
    """Return whether an answer states that the call was not run."""
    return find_field(fields, RUN_FIELD) == _NOT_RUN


class RefusedError(Exception):
    """Carry a refusal up to the connection that answers the caller."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.code.value)
        self.refusal = refusal
