"""Changes of the fleet's configuration.

Text, keys and secrets share one sequence of versions: each accepted change is
one row, and the head row names the newest.
"""

from typing import Annotated

import msgspec

from boragetrestle_kernel.ids import Digest, KeyId, OrgId, Version
from boragetrestle_kernel.service_text import (
    Organisation,
    Service,
    ServiceText,
)


class TextApplied(msgspec.Struct, frozen=True, tag='text'):
    """Operators put a new services text in force."""

    text: ServiceText


class TextEdited(msgspec.Struct, frozen=True, tag='text-edited'):
    """Operators put some services or the organisations in force.

    The edit holds only what differs, which keeps a change to one service of
    hundreds small. ``organisations`` is ``None`` if they stay as they are.
    """

    services: tuple[Service, ...] = ()
    removed: tuple[str, ...] = ()
    organisations: tuple[Organisation, ...] | None = None


class KeyGiven(msgspec.Struct, frozen=True, tag='key-given'):
    """Operators gave a key to an organisation."""

    key_id: KeyId
    digest: Digest
    organisation: OrgId


class KeyWithdrawn(msgspec.Struct, frozen=True, tag='key-withdrawn'):
    """Operators withdrew a key."""

    key_id: KeyId


class SecretAdded(msgspec.Struct, frozen=True, tag='secret-added'):
    """A new fleet secret signs contexts from now on."""

    number: int
    secret: bytes


class SecretRetired(msgspec.Struct, frozen=True, tag='secret-retired'):
    """A fleet secret is no longer accepted."""

    number: int


AnyChange = (
    TextApplied
    | TextEdited
    | KeyGiven
    | KeyWithdrawn
    | SecretAdded
    | SecretRetired
)


class Change(msgspec.Struct, frozen=True):
    """One accepted change with its version, author and wall time."""

    version: Annotated[Version, msgspec.Meta(ge=1)]
    change: AnyChange
    author: str = ''
    made_at: float = 0
