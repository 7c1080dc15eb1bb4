"""An answer of a target."""

from dataclasses import dataclass
from http import HTTPStatus


@dataclass(slots=True)
class TargetAnswer:
    """A whole answer; header names are in lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keeps_open: bool

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header."""
        for known, value in self.headers:
            if known == name:
                return value
        return None

    @property
    def is_success(self) -> bool:
        """Whether the status is one of success."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES
