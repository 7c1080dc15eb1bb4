"""An HTTP response of a target."""

from dataclasses import dataclass
from http import HTTPStatus


@dataclass(slots=True)
class TargetAnswer:
    """A complete HTTP response; header names are in lower case."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes
    keeps_open: bool

    def header(self, name: bytes) -> bytes | None:
        """Return the first value of a header, or ``None``."""
        for known, value in self.headers:
            if known == name:
                return value
        return None

    @property
    def is_success(self) -> bool:
        """Whether the status is in the range 200 to 299."""
        return HTTPStatus.OK <= self.status < HTTPStatus.MULTIPLE_CHOICES
