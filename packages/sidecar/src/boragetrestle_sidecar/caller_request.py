"""A request as its caller sent it."""

from dataclasses import dataclass, field

Header = tuple[bytes, bytes]


@dataclass(slots=True)
class CallerRequest:
    """A complete request; header names are in lower case.

    ``request_target`` is the HTTP request target: the path with its query,
    unchanged. ``has_length`` tells that a header states how the body ends. A
    large ``body`` is a bytearray that is not changed any more. It has waited
    ``waited_seconds`` of the caller's time for memory, of the ``read_seconds``
    that passed from its first byte until it was complete at ``read_at``, and
    ``queued_seconds`` behind other requests of its connection.
    """

    method: bytes
    request_target: bytes
    headers: list[Header] = field(default_factory=list)
    body: bytes = b''
    keeps_open: bool = True
    has_length: bool = False
    waited_seconds: float = 0.0
    read_seconds: float = 0.0
    read_at: float = 0.0
    queued_seconds: float = 0.0
    _single: dict[bytes, bytes | None] | None = field(
        default=None, init=False, repr=False, compare=False
    )

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a header that occurs exactly once, or ``None``."""
        if self._single is None:
            self._single = _single_values(self.headers)
        return self._single.get(name)

    @property
    def host(self) -> str:
        """The host that the request names, without a port."""
        host = self.header(b'host') or b''
        return host.decode('latin-1').partition(':')[0]

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.request_target.partition(b'?')[0].decode('latin-1')


def _single_values(headers: list[Header]) -> dict[bytes, bytes | None]:
    """Return the values by name, None for names that occur more than once."""
    values: dict[bytes, bytes | None] = {}
    for name, value in headers:
        values[name] = None if name in values else value
    return values
