"""What a target says of itself in the headers of its answers."""

import re
from typing import TYPE_CHECKING, NamedTuple

from boragetrestle_kernel.errors import WireError

if TYPE_CHECKING:
    from boragetrestle_sidecar.target_answer import TargetAnswer
    from boragetrestle_sidecar.wire_names import WireNames

_DECIMAL = re.compile(rb'\d{1,9}(\.\d{1,9})?')
_LEAVING = b'1'


class TargetTerms(NamedTuple):
    """The terms of one answer.

    ``rate_limit`` is the requests a second that the target takes from all nodes
    together, or None if it names no limit.
    """

    rate_limit: float | None
    is_leaving: bool


def read_terms(answer: 'TargetAnswer', names: 'WireNames') -> TargetTerms:
    """Return the terms in an answer's headers.

    Raises ``WireError`` for a rate limit that is no decimal number.
    """
    leaving = answer.header(names.leaving)
    return TargetTerms(
        _decode_rate_limit(answer.header(names.rate_limit)),
        leaving is not None and leaving.strip() == _LEAVING,
    )


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
