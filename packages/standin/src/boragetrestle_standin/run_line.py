"""Lines by which a target process tells which calls it ran."""

from collections.abc import Iterator

import msgspec

RUN_MARK = 'run '


class RunLine(msgspec.Struct, frozen=True):
    """A call that a target started; ``at`` is wall time in seconds."""

    path: str
    at: float


def read_runs(log: str) -> Iterator[RunLine]:
    r"""Yield the calls that a log tells of.

    >>> list(read_runs('started\nrun {"path":"/a","at":1.5}\n'))
    [RunLine(path='/a', at=1.5)]
    """
    for line in log.splitlines():
        if line.startswith(RUN_MARK):
            yield msgspec.json.decode(
                line.removeprefix(RUN_MARK),
                type=RunLine,
            )
