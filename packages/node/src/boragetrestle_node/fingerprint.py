"""Fingerprints that recognise a repeated request."""

from typing import NamedTuple

import xxhash

from boragetrestle_kernel.http_server import HttpRequest
from boragetrestle_kernel.ids import OrgId
from boragetrestle_node.call import Call
from boragetrestle_node.replayable_body import ReplayableBody

Fingerprint = str


class RequestHead(NamedTuple):
    """The parts of a request that its fingerprint covers besides the body."""

    organisation: OrgId
    method: bytes
    target: bytes

    @classmethod
    def of(cls, call: Call, request: HttpRequest) -> 'RequestHead':
        """Return the head of a call's request."""
        return cls(call.organisation, request.method, request.target)

    def digest(self) -> str:
        """Return a 64-bit digest of the head, in hexadecimal."""
        digest = xxhash.xxh3_64()
        digest.update(self.organisation.encode())
        digest.update(b'\0%b\0%b' % (self.method, self.target))
        return digest.hexdigest()


def fingerprint_of(head: str, body: ReplayableBody) -> Fingerprint:
    """Return the fingerprint of a request from the digest of its head.

    The digest of the body covers its first ``MAX_REPLAYABLE_BYTES``.
    """
    return f'{head}-{body.digest()}'
