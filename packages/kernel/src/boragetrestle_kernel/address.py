"""An IP address with a port."""

import re
from typing import NamedTuple, Self

from boragetrestle_kernel.errors import SettingsError

_MAX_PORT = 65535
_MAX_SHOWN_CHARACTERS = 80  # text of another writer may be long
_PORT = re.compile('[0-9]{1,5}')


class Address(NamedTuple):
    """An IP address with a port.

    >>> Address.parse('127.0.0.1:8080')
    Address(host='127.0.0.1', port=8080)
    >>> str(Address('127.0.0.1', 8080))
    '127.0.0.1:8080'
    """

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Self:
        """Parse ``HOST:PORT``; raise ``SettingsError`` for any other form."""
        host, _, port = text.rpartition(':')
        is_number = _PORT.fullmatch(port) is not None
        if not host or not is_number or int(port) > _MAX_PORT:
            raise SettingsError(
                f'{text[:_MAX_SHOWN_CHARACTERS]!r} is not an address',
                remedy='write it as IP:PORT, for instance 127.0.0.1:8080',
            )
        return cls(host.strip('[]'), int(port))

    def __str__(self) -> str:
        """Return ``HOST:PORT``."""
        return f'{self.host}:{self.port}'
