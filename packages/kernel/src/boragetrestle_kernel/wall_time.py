"""Format wall time for people."""

from datetime import UTC, datetime

_MILLISECONDS = 'milliseconds'


def format_utc(seconds: float) -> str:
    """Return seconds since the epoch as a UTC time.

    >>> format_utc(1.5)
    '1970-01-01 00:00:01.500'
    """
    moment = datetime.fromtimestamp(seconds, UTC).replace(tzinfo=None)
    return moment.isoformat(sep=' ', timespec=_MILLISECONDS)
