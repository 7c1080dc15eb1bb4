"""Row of the store's table that says who holds a share of a rate."""

import msgspec

SHARE_PREFIX = 'share/'


class ShareRecord(msgspec.Struct, frozen=True):
    """Name the holder of a share; an empty ``node`` means it was released.

    ``session`` names the process of the node. ``until`` is the store time in
    seconds at which the holder's tenure ends. ``tokens`` were left when the
    share was released, for the next holder.
    """

    node: str
    session: str
    address: str
    until: float
    tokens: float = 0


def share_row_key(organisation: str, share: int) -> str:
    """Return the row key of a share.

    >>> share_row_key('acacia', 2)
    'share/acacia/2'
    """
    return f'{SHARE_PREFIX}{organisation}/{share}'
