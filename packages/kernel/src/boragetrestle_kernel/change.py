"""Changes of the fleet's configuration.

The services text, caller keys and fleet secrets share one sequence of versions.
Each accepted change is one row of the table service; the row ``head`` holds the
newest version.
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
    """Replace the whole services text."""

    text: ServiceText


class TextEdited(msgspec.Struct, frozen=True, tag='text-edited'):
    """Replace or remove some services, or replace the organisations.

    The edit holds only what differs, which keeps a change to one service of
    hundreds small. ``organisations`` is ``None`` if they do not change.
    """

    services: tuple[Service, ...] = ()
    removed: tuple[str, ...] = ()
    organisations: tuple[Organisation, ...] | None = None


class KeyGiven(msgspec.Struct, frozen=True, tag='key-given'):
    """Issue a caller key to an organisation."""

    key_id: KeyId
    digest: Digest
    organisation: OrgId


class KeyWithdrawn(msgspec.Struct, frozen=True, tag='key-withdrawn'):
    """Revoke a caller key."""

    key_id: KeyId


class SecretAdded(msgspec.Struct, frozen=True, tag='secret-added'):
    """Add a fleet secret, which signs call contexts."""

    number: int
    secret: bytes


class SecretRetired(msgspec.Struct, frozen=True, tag='secret-retired'):
    """Stop accepting a fleet secret."""

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
    """An accepted change; ``made_at`` is its wall time in seconds."""

    version: Annotated[Version, msgspec.Meta(ge=1)]
    change: AnyChange
    author: str = ''
    made_at: float = 0
