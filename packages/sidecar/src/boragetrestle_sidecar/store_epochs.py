"""Tell answers of the store's current epoch from those of earlier ones.

A store that comes back from an older copy starts a new epoch: what was written
after the copy is gone, and versions are given out again.
"""

from boragetrestle_kernel.errors import OutcomeUnknownError, StoreError
from boragetrestle_sidecar.header_number import read_count

_MAX_EPOCH = 1_000_000_000_000_000  # far above the milliseconds of today
_MAX_SHOWN_BYTES = 60


class StoreEpochs:
    """The newest epoch that an answer of the store has named.

    >>> epochs = StoreEpochs()
    >>> epochs.check(b'3'), epochs.newest
    (None, 3)
    >>> epochs.check(b'2')
    Traceback (most recent call last):
    ...
    boragetrestle_kernel.errors.OutcomeUnknownError: ...
    """

    def __init__(self) -> None:
        self.newest = 0
        self.is_stated = False

    def check(self, stated: bytes | None) -> None:
        """Take over the epoch that an answer names.

        Raises ``OutcomeUnknownError`` for an answer of an earlier epoch, since
        what it says no longer holds, and ``StoreError`` for one whose epoch is
        missing, although earlier ones had one, or malformed.
        """
        if stated is None and not self.is_stated:
            return
        epoch = read_count(stated or b'', most=_MAX_EPOCH + 1)
        if epoch is None or epoch > _MAX_EPOCH:
            shown = stated and stated[:_MAX_SHOWN_BYTES]
            raise StoreError(
                f'an answer of the store names the epoch {shown!r}',
                remedy='check the store for faults',
            )
        if epoch < self.newest:
            raise OutcomeUnknownError(
                f'an answer of the store is of epoch {epoch}, which ended when '
                f'epoch {self.newest} began',
                remedy='read the table again',
            )
        self.is_stated = True
        self.newest = epoch
