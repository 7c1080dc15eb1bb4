"""The signed context that travels with a call through the chain.

The key of the caller never reaches a target. In its place goes this context,
signed with a fleet secret and valid until the deadline of the call.
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
_MAX_NUMBER_DIGITS = 9


class ContextPurpose(Enum):
    """What a context entitles its bearer to.

    ``ONWARD`` goes to a target, for its onward calls at the node beside it.
    ``GUARDED_HOP`` goes from one node to the node beside a target and lets the
    call pass without key, rate or gates; targets and callers never see one.
    """

    ONWARD = 'onward'
    GUARDED_HOP = 'guarded-hop'


class CallContext(msgspec.Struct, frozen=True, array_like=True):
    """What a node tells the next about a call.

    ``service`` is the service the call was sent to, so that a context replayed
    on another service is refused. ``deadline`` is wall time in seconds.
    ``remaining`` is the seconds left when a guarded hop was sent, which does
    not depend on the wall clocks of two hosts.
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

    The secret with the number ``signing`` signs, else the newest; every known
    one verifies, so that a rotation refuses no call in flight.

    >>> signer = ContextSigner({1: b'secret'})
    >>> ctx = CallContext('c', 'org', 'k', 'walks', 1, 10.0, 3)
    >>> signer.verify(signer.sign(ctx), now=5.0) == ctx
    True
    """

    def __init__(
        self,
        secrets: Mapping[int, bytes],
        *,
        signing: int | None = None,
    ) -> None:
        self.secrets = dict(secrets)
        self.signing = max(self.secrets, default=0)
        if signing is not None:
            self.signing = signing

    def sign(self, context: CallContext) -> bytes:
        """Return the header value of a context."""
        if not self.secrets:
            raise ContextError(
                'no fleet secret is known',
                remedy='wait until the node has read its configuration',
            )
        number = self.signing
        body = base64.urlsafe_b64encode(msgspec.json.encode(context))
        signature = _signature(self.secrets[number], body)
        return b'%d.%s.%s' % (number, body, signature)

    def verify(self, header: bytes, *, now: float) -> CallContext:
        """Return the context; raise ``ContextError`` unless it is valid."""
        number, _, rest = header.partition(b'.')
        body, _, signature = rest.partition(b'.')
        is_number = number.isdigit() and len(number) <= _MAX_NUMBER_DIGITS
        secret = self.secrets.get(int(number)) if is_number else None
        if secret is None:
            raise ContextError('the context names no known secret')
        if not hmac.compare_digest(_signature(secret, body), signature):
            raise ContextError('the signature of the context is wrong')
        try:
            context = msgspec.json.decode(
                base64.urlsafe_b64decode(body),
                type=CallContext,
            )
        except (ValueError, msgspec.DecodeError) as error:
            raise ContextError('the context has a wrong shape') from error
        if context.deadline < now:
            raise ContextError(
                'the context has expired',
                remedy='make a new call',
            )
        return context


def _signature(secret: bytes, body: bytes) -> bytes:
    digest = hashlib.blake2b(body, key=secret, digest_size=_SIGNATURE_BYTES)
    return digest.hexdigest().encode()
