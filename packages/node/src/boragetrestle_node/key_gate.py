"""Check that a call has an idempotency key where its route wants one."""

from boragetrestle_kernel.refusal import Refusal, RefusalCode, RefusedError
from boragetrestle_node.call import Call

MAX_KEY_LENGTH = 255

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
    detail=f'the Idempotency-Key is longer than {MAX_KEY_LENGTH} characters',
)
_REFUSALS: dict[tuple[str, bool], Refusal] = {
    ('required', False): _REQUIRED,
    ('forbidden', True): _FORBIDDEN,
}


class KeyGate:
    """Refuse calls whose idempotency key is missing or out of place."""

    def check(self, call: Call) -> None:
        """Raise ``RefusedError`` unless the call may go on."""
        key = call.idempotency_key
        refusal = _REFUSALS.get((call.route.idempotency_key, bool(key)))
        if len(key) > MAX_KEY_LENGTH:
            refusal = _TOO_LONG
        if refusal is not None:
            raise RefusedError(refusal)
