"""Fill figures into a page."""

import re
from collections.abc import Iterable

from boragetrestle_bench.policy_sets import CURRENT
from boragetrestle_bench.result import Result

NOT_MEASURED = 'not measured'

_PLACEHOLDER = re.compile(r'{{(?P<benchmark>[^:}]+): (?P<figure>[^}]+)}}')


def fill_page(template: str, results: Iterable[Result]) -> str:
    """Replace each ``{{benchmark: figure}}`` by its amount.

    A figure that no result has becomes ``not measured``.

    >>> fill_page('{{call-cost: a call, us}} us', [])
    'not measured us'
    """
    amounts = {
        (res.benchmark, figure.name): figure.amount
        for res in results
        if res.policies == CURRENT
        for figure in res.figures
    }

    def amount_of(match: re.Match[str]) -> str:
        amount = amounts.get((match['benchmark'], match['figure']))
        return NOT_MEASURED if amount is None else f'{amount:.3g}'

    return _PLACEHOLDER.sub(amount_of, template)
