"""The signed context that nodes attach to a call.

The caller's key never reaches a target. Nodes and targets pass on this context
in its place, signed with a fleet secret and valid until the deadline of the
call.
"""

import base64
import hashlib
import hmac
from collections.abc import Mapping
from enum import Enum

import msgspec

from boragetrestle_kernel.errors import ContextError

HEADER = b'boragetrestle-context'

_SIGNATURE_BYTES = 16
_MAX_SECRET_NUMBER_DIGITS = 9


class ContextPurpose(Enum):
    """What a context entitles its bearer to.

    ``ONWARD`` is given to a target, which shows it when it makes an onward call
    at the node beside it. ``GUARDED_HOP`` is sent by the entry, the node that
    took the call, to the node beside the chosen target; that node then skips
    the checks of key, rate and admission. Targets and callers never see one.
    """

    ONWARD = 'onward'
    GUARDED_HOP = 'guarded-hop'


class CallContext(msgspec.Struct, frozen=True, array_like=True):
    """Identity, deadline and retry budget of a call.

    ``service`` is the service the call was sent to, so that a context replayed
    on another service is refused. ``deadline`` is wall time in seconds.
    ``remaining`` is the time in seconds that was left until the deadline when a
    guarded hop was sent; unlike ``deadline`` it does not depend on the clocks
    of two hosts. ``depth`` counts the onward calls that led to this call.
    """

    call_id: str
    organisation: str
    key_id: str
    service: str
    call_class: int
    deadline: float
    attempts_left: int
    depth: int = 0
    purpose: ContextPurpose = ContextPurpose.ONWARD
    remaining: float = 0


class ContextSigner:
    """Sign and verify contexts with the secrets of the fleet.

    ``signing_number`` is the number of the secret that signs, by default the
    newest. Every known secret verifies, so that calls in flight stay valid
    during a rotation.

    >>> signer = ContextSigner({1: b'secret'})
    >>> ctx = CallContext('c', 'org', 'k', 'walks', 1, 10.0, 3)
    >>> signer.verify(signer.sign(ctx), now=5.0) == ctx
    True
    """

    def __init__(
        self,
        secrets: Mapping[int, bytes],
        *,
        signing_number: int | None = None,
    ) -> None:
        self.secrets = dict(secrets)
        self.signing_number = max(self.secrets, default=0)
        if signing_number is not None:
            self.signing_number = signing_number

    def sign(self, context: CallContext) -> bytes:
        """Return the header value of a context."""
        if not self.secrets:
            raise ContextError(
                'cannot sign a call context: no fleet secret is known',
                remedy='wait until the node has read its configuration',
            )
        number = self.signing_number
        body = base64.urlsafe_b64encode(msgspec.json.encode(context))
        signature = _signature(self.secrets[number], body)
        return b'%d.%s.%s' % (number, body, signature)

    def verify(self, header: bytes, *, now: float) -> CallContext:
        """Return the context; raise ``ContextError`` unless it is valid."""
        number, _, rest = header.partition(b'.')
        body, _, signature = rest.partition(b'.')
        is_number = (
            number.isdigit() and len(number) <= _MAX_SECRET_NUMBER_DIGITS
        )
        secret = self.secrets.get(int(number)) if is_number else None
        if secret is None:
            raise ContextError('the call context names an unknown fleet secret')
        if not hmac.compare_digest(_signature(secret, body), signature):
            raise ContextError('the signature of the call context is wrong')
        try:
            context = msgspec.json.decode(
                base64.urlsafe_b64decode(body),
                type=CallContext,
            )
        except (ValueError, msgspec.DecodeError) as error:
            raise ContextError('the call context cannot be decoded') from error
        if context.deadline < now:
            raise ContextError(
                'the deadline of the call context has passed',
                remedy='make a new call',
            )
        return context


def _signature(secret: bytes, body: bytes) -> bytes:
    digest = hashlib.blake2b(body, key=secret, digest_size=_SIGNATURE_BYTES)
    return digest.hexdigest().encode()
