"""The order in which trio runs tasks that are ready together.

Trio shuffles them on purpose. Runs on the virtual clock seed the shuffle, so
that they are repeatable; another seed gives another order.
"""

import random
from typing import Any

from trio._core import _run

_scheduler: Any = _run


def seed_scheduling(seed: int) -> None:
    """Make the order of tasks repeatable for the following runs.

    The shared generator of ``random`` is seeded, too.
    """
    _scheduler._ALLOW_DETERMINISTIC_SCHEDULING = True
    _scheduler._r.seed(seed)
    random.seed(seed)
