"""Settings of a node, read from a JSON file."""

import ipaddress
import os
from pathlib import Path
from typing import Annotated

import msgspec

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import SettingsError
from boragetrestle_kernel.json_fault import JsonFaultError, decode_checked

_LOOPBACK = ('127.0.0.1', '::1')
_Seconds = Annotated[float, msgspec.Meta(gt=0, le=3600)]


class Credential(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A reference to a secret: an environment variable or a file."""

    env: str | None = None
    file: str | None = None

    def resolve(self) -> bytes:
        """Return the secret; raise ``SettingsError`` if it is absent."""
        if self.env is not None and self.env in os.environ:
            return os.environ[self.env].encode()
        if self.file is not None and Path(self.file).is_file():
            return Path(self.file).read_bytes().strip()
        raise SettingsError(
            f'the credential {self.env or self.file!r} is absent',
            remedy='set the variable or write the file that it names',
        )


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses of a node as ``IP:PORT``."""

    calls: str
    peers: str
    admin: str


class PlatformSettings(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """How to reach the table service and the object store."""

    adapter: str
    address: str = ''
    timeout: _Seconds = 2.0


class ConnectionLimits(
    msgspec.Struct,
    frozen=True,
    forbid_unknown_fields=True,
):
    """How many connections callers may hold open at a node."""

    total: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 2000
    per_organisation: Annotated[int, msgspec.Meta(ge=1, le=100_000)] = 1000


class NodeSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Settings of one node.

    The first of ``fleet_secrets`` proves this node to its peers; any of them is
    accepted from a peer, so that secrets rotate without a lost link.

    ``operator_credential`` opens the operators' paths of the admin address;
    without it they are open to the node's own host only. ``target_hosts`` are
    further IP addresses of the target beside this node, which alone may
    announce itself and make onward calls.
    """

    node: Annotated[str, msgspec.Meta(pattern='^[A-Za-z0-9._-]{1,64}$')]
    domain: Annotated[str, msgspec.Meta(pattern='^[A-Za-z0-9._-]{1,64}$')]
    listen: Listen
    platform: PlatformSettings
    fleet_secrets: Annotated[
        tuple[Credential, ...],
        msgspec.Meta(min_length=1, max_length=4),
    ]
    region: str = ''
    peers: tuple[str, ...] = ()
    drain_timeout: _Seconds = 30.0
    connections: ConnectionLimits = ConnectionLimits()
    operator_credential: Credential | None = None
    target_hosts: tuple[str, ...] = ()

    @property
    def own_hosts(self) -> frozenset[str]:
        """The IP addresses of this host and of the target on it."""
        listening = (self.listen.calls, self.listen.admin)
        own = {Address.parse(address).host for address in listening}
        return frozenset((*own, *_LOOPBACK, *self.target_hosts))


def parse_settings(raw: bytes) -> NodeSettings:
    """Parse settings; raise ``SettingsError`` that names a wrong field."""
    try:
        settings = decode_checked(raw, NodeSettings)
    except JsonFaultError as error:
        raise SettingsError(
            str(error),
            remedy='correct this field of the settings',
        ) from error
    for name in settings.listen.__struct_fields__:
        _check_address(f'$.listen.{name}', getattr(settings.listen, name))
    for index, peer in enumerate(settings.peers):
        _check_address(f'$.peers[{index}]', peer)
    for index, host in enumerate(settings.target_hosts):
        _check_ip(f'$.target_hosts[{index}]', host)
    return settings


def _check_ip(where: str, text: str) -> None:
    try:
        ipaddress.ip_address(text)
    except ValueError as error:
        raise SettingsError(
            f'{where} is {text!r}',
            remedy='write it as an IP address, for instance 10.0.0.7',
        ) from error


def _check_address(where: str, text: str) -> None:
    try:
        ipaddress.ip_address(Address.parse(text).host)
    except (SettingsError, ValueError) as error:
        raise SettingsError(
            f'{where} is {text!r}',
            remedy='write it as IP:PORT, for instance 10.0.0.7:7100',
        ) from error
