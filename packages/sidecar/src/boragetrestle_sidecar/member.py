"""Nodes of the fleet, as their rows in the store describe them."""

import json
from typing import NamedTuple

import msgspec

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import SettingsError, WireError
from boragetrestle_kernel.json_decoding import decode_json


class Member(NamedTuple):
    """A node: its address, failure domain and the service of its target."""

    address: str
    domain: str
    service: str

    def encode(self) -> bytes:
        """Return the content of the node's row.

        >>> Member('10.0.0.1:7000', 'a', 'walks').encode()
        b'{"domain": "a", "service": "walks"}'
        """
        row = {'domain': self.domain, 'service': self.service}
        return json.dumps(row).encode()


class _Row(msgspec.Struct):
    domain: str
    service: str = ''


def decode_member(address: str, content: bytes) -> Member:
    """Decode a row of the table of nodes.

    Raises ``WireError`` for a row that a node cannot have written.

    >>> decode_member('10.0.0.1:7000', b'{"domain": "a"}').service
    ''
    """
    try:
        Address.parse(address)
        found = decode_json(content, _Row)
    except (SettingsError, msgspec.DecodeError) as error:
        raise WireError(
            f'the row of node {address!r} cannot be decoded: {error}',
            remedy='remove the row; a running node writes its own again',
        ) from error
    return Member(address, found.domain, found.service)
