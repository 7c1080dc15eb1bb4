"""The addresses of one host of a stand-in fleet."""

import os
from typing import NamedTuple, Self

from boragetrestle_kernel.address import Address

MEMORY_OCTET = 1

_FIRST_OCTET = 10
_OCTETS = 200
_HOSTS_PER_BLOCK = 250
_CALLS_PORT = 17_400
_PEERS_PORT = 17_401
_ADMIN_PORT = 17_402
_TARGET_PORT = 17_403


class HostAddresses(NamedTuple):
    """Addresses of a node and of the target beside it."""

    calls: Address
    peers: Address
    admin: Address
    target: Address

    @classmethod
    def of_host(cls, ip: str) -> Self:
        """Return the addresses on a host.

        >>> str(HostAddresses.of_host('127.1.0.1').calls)
        '127.1.0.1:17400'
        """
        return cls(
            Address(ip, _CALLS_PORT),
            Address(ip, _PEERS_PORT),
            Address(ip, _ADMIN_PORT),
            Address(ip, _TARGET_PORT),
        )


def host_ip(place: int, *, octet: int = MEMORY_OCTET) -> str:
    """Return the loopback address of a host in the network of an octet.

    >>> host_ip(1), host_ip(251), host_ip(1, octet=9)
    ('127.1.0.1', '127.1.1.1', '127.9.0.1')
    """
    block, offset = divmod(place - 1, _HOSTS_PER_BLOCK)
    return f'127.{octet}.{block}.{offset + 1}'


def process_octet() -> int:
    """Return an octet by process id, so that parallel runs differ."""
    return _FIRST_OCTET + os.getpid() % _OCTETS
