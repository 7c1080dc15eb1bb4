"""The result of one benchmark under one set of policies."""

import msgspec

from boragetrestle_bench.figure import Figure


class Result(msgspec.Struct, frozen=True):
    """Figures of a benchmark; ``seconds`` is the real time that it took."""

    benchmark: str
    policies: str
    seed: int
    figures: tuple[Figure, ...]
    is_virtual: bool
    seconds: float
