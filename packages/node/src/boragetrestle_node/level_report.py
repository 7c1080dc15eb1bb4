"""Messages and header field that carry admission levels between nodes."""

import msgspec

from boragetrestle_kernel.errors import WireError
from boragetrestle_kernel.peer_message import peer_message

LEVELS_FIELD = b'boragetrestle-levels'
MAX_REPORTS = 12


class LevelReport(msgspec.Struct, frozen=True, array_like=True):
    """The admission level that a target had ``age`` seconds ago.

    ``number`` increases with each report about the target, so that the newer
    of two reports is known.
    """

    target: str
    level: float
    number: int
    age: float


@peer_message('levels')
class LevelReports(msgspec.Struct, frozen=True):
    """Reports that were new to the sender."""

    reports: list[LevelReport]


def encode_reports(reports: list[LevelReport]) -> bytes:
    """Return the header field value for the first ``MAX_REPORTS`` reports.

    >>> decode_reports(encode_reports([LevelReport('n:walks', 1.5, 7, 0.2)]))
    [LevelReport(target='n:walks', level=1.5, number=7, age=0.2)]
    """
    return msgspec.json.encode(reports[:MAX_REPORTS])


def decode_reports(content: bytes) -> list[LevelReport]:
    """Parse the header field; raise ``WireError`` if it is malformed."""
    if not content:
        return []
    try:
        return msgspec.json.decode(content, type=list[LevelReport])
    except msgspec.DecodeError as error:
        raise WireError(f'the levels have a wrong shape: {error}') from error
