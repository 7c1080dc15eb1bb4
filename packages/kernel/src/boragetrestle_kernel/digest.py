"""Digests of caller keys.

Only digests are stored; the key itself is printed once, when it is issued.
"""

import hashlib
import secrets

from boragetrestle_kernel.ids import Digest

_KEY_BYTES = 24
_KEY_PREFIX = 'bt_'
_DIGEST_BYTES = 16


def generate_key() -> str:
    """Generate a random key."""
    return _KEY_PREFIX + secrets.token_urlsafe(_KEY_BYTES)


def digest_key(key: str) -> Digest:
    """Return the digest under which a key is stored.

    Keys carry 192 random bits, so an unsalted digest cannot be reversed and
    the look-up needs no slow hash.
    """
    return Digest(
        hashlib.blake2b(key.encode(), digest_size=_DIGEST_BYTES).hexdigest()
    )
