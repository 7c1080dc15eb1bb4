"""Ids of targets, as they name themselves."""

import re

from boragetrestle_kernel.errors import WireError
from boragetrestle_kernel.ids import TargetId

_VISIBLE_ASCII = re.compile('[!-~]{1,200}')


def parse_target_id(text: str) -> TargetId:
    """Return the id of a target.

    Requests carry it in a header, so anything but visible ASCII raises
    ``WireError``.

    >>> parse_target_id('i-7f3a91c2')
    'i-7f3a91c2'
    >>> parse_target_id('i-7 x')
    Traceback (most recent call last):
    ...
    boragetrestle_kernel.errors.WireError: ...
    """
    if _VISIBLE_ASCII.fullmatch(text) is None:
        raise WireError(
            f'{text[:60]!r} is no id of a target',
            remedy='use 1 to 200 visible ASCII characters',
        )
    return TargetId(text)
