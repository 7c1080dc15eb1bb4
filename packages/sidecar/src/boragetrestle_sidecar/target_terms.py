"""What a target says of itself in the headers of its answers."""

import re
from typing import TYPE_CHECKING

from boragetrestle_kernel.errors import WireError

if TYPE_CHECKING:
    from boragetrestle_sidecar.target_answer import TargetAnswer
    from boragetrestle_sidecar.wire_names import WireNames

_DECIMAL = re.compile(rb'\d{1,9}(\.\d{1,9})?')
_LEAVING = b'1'


def says_it_leaves(answer: 'TargetAnswer', names: 'WireNames') -> bool:
    """Return whether the target says in an answer that it leaves."""
    leaving = answer.header(names.leaving)
    return leaving is not None and leaving.strip() == _LEAVING


def read_rate_limit(
    answer: 'TargetAnswer',
    names: 'WireNames',
) -> float | None:
    """Return the requests a second that the target takes from all nodes.

    None if it names no limit. Raises ``WireError`` for a limit that is no
    decimal number.
    """
    return _decode_rate_limit(answer.header(names.rate_limit))


def _decode_rate_limit(stated: bytes | None) -> float | None:
    """Return a rate limit in requests a second.

    >>> _decode_rate_limit(b'18.8')
    18.8
    >>> _decode_rate_limit(b'-1')
    Traceback (most recent call last):
    ...
    boragetrestle_kernel.errors.WireError: ...
    """
    if stated is None:
        return None
    if _DECIMAL.fullmatch(stated.strip()) is None:
        raise WireError(
            f'a target names the rate limit {stated!r}',
            remedy='name a decimal number of requests a second',
        )
    return float(stated)
