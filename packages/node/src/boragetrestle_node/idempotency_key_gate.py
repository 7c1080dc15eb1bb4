"""Check a call's idempotency key against what its route requires."""

from boragetrestle_kernel.refusal import Refusal, RefusalCode, RefusedError
from boragetrestle_node.call import Call

MAX_KEY_CHARS = 255

_REQUIRED = Refusal(
    RefusalCode.KEY_REQUIRED,
    detail='this route needs an Idempotency-Key; send a new one for each call',
)
_FORBIDDEN = Refusal(
    RefusalCode.BAD_REQUEST,
    detail='this route takes no Idempotency-Key; leave it out',
)
_TOO_LONG = Refusal(
    RefusalCode.BAD_REQUEST,
    detail=f'the Idempotency-Key is longer than {MAX_KEY_CHARS} characters',
)
_REFUSALS_BY_RULE: dict[tuple[str, bool], Refusal] = {
    ('required', False): _REQUIRED,
    ('forbidden', True): _FORBIDDEN,
}


class IdempotencyKeyGate:
    """Refuse calls whose idempotency key is missing, forbidden or too long."""

    def check(self, call: Call) -> None:
        """Raise ``RefusedError`` unless the call's key fits its route."""
        key = call.idempotency_key
        refusal = _REFUSALS_BY_RULE.get((call.route.idempotency_key, bool(key)))
        if len(key) > MAX_KEY_CHARS:
            refusal = _TOO_LONG
        if refusal is not None:
            raise RefusedError(refusal)
