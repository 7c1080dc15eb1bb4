"""Lines in which a target process logs the calls that it runs."""

from collections.abc import Iterator

import msgspec

RUN_LINE_PREFIX = 'run '


class RunLine(msgspec.Struct, frozen=True):
    """A call that a target started; ``at`` is wall time in seconds."""

    path: str
    at: float


def parse_run_lines(log: str) -> Iterator[RunLine]:
    r"""Parse the calls in the output of a target.

    >>> list(parse_run_lines('started\nrun {"path":"/a","at":1.5}\n'))
    [RunLine(path='/a', at=1.5)]
    """
    for line in log.splitlines():
        if line.startswith(RUN_LINE_PREFIX):
            yield msgspec.json.decode(
                line.removeprefix(RUN_LINE_PREFIX),
                type=RunLine,
            )
