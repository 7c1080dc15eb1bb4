"""Nodes of the fleet, as their rows in the store describe them."""

import json
from typing import NamedTuple

from boragetrestle_kernel.errors import WireError


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


def decode_member(address: str, content: bytes) -> Member:
    """Decode a row of the table of nodes.

    Raises ``WireError`` for a row that a node cannot have written.

    >>> decode_member('10.0.0.1:7000', b'{"domain": "a"}').service
    ''
    """
    try:
        found = json.loads(content)
    except ValueError as error:
        raise WireError(
            f'the row of node {address!r} is not JSON: {error}',
            remedy='remove the row; a running node writes its own again',
        ) from error
    host, _, port = address.rpartition(':')
    fields = found if isinstance(found, dict) else {}
    domain = fields.get('domain')
    service = fields.get('service', '')
    is_text = isinstance(domain, str) and isinstance(service, str)
    if not (is_text and host and port.isdigit()):
        raise WireError(
            f'the row of node {address!r} lacks an address or a domain',
            remedy='remove the row; a running node writes its own again',
        )
    return Member(address, str(domain), str(service))
