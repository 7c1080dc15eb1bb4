"""A request as its caller sent it."""

from dataclasses import dataclass, field

Header = tuple[bytes, bytes]


@dataclass(slots=True)
class CallerRequest:
    """A complete request; header names are in lower case.

    ``request_target`` is the HTTP request target: the path with its query,
    unchanged. ``has_length`` tells that a header states how the body ends.
    """

    method: bytes
    request_target: bytes
    headers: list[Header] = field(default_factory=list)
    body: bytes = b''
    keeps_open: bool = True
    has_length: bool = False

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header that occurs exactly once, or ``None``."""
        found = [value for known, value in self.headers if known == name]
        return found[0] if len(found) == 1 else None

    @property
    def host(self) -> str:
        """The host that the request names, without a port."""
        host = self.header(b'host') or b''
        return host.decode('latin-1').partition(':')[0]

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.request_target.partition(b'?')[0].decode('latin-1')
