"""Priority classes of calls; load shedding drops the least important first."""

from enum import IntEnum


class CallClass(IntEnum):
    """Importance of a call; load shedding drops the highest number first.

    Gate checks and batch submissions are ``CRITICAL``.

    >>> CallClass.parse('critical') < CallClass.parse('bulk')
    True
    """

    CRITICAL = 0
    INTERACTIVE = 1
    BULK = 2

    @classmethod
    def parse(cls, name: str) -> 'CallClass':
        """Return the class with this lower-case name."""
        return cls[name.upper()]

    @property
    def label(self) -> str:
        """The lower-case name used in texts and headers."""
        return self.name.lower()
