"""The registry of benchmarks."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from boragetrestle_bench.figure import Figure
from boragetrestle_node.policies import Policies

Measurement = Callable[[Policies, int], Sequence[Figure]]


class Benchmark(NamedTuple):
    """A measurement that takes policies and a seed.

    The figures of a ``is_virtual`` benchmark do not depend on the machine.
    ``has_policies`` tells that other policies give other figures.
    """

    name: str
    measure: Measurement
    seed: int
    is_virtual: bool
    has_policies: bool


BENCHMARKS: dict[str, Benchmark] = {}


def benchmark(
    name: str,
    *,
    seed: int = 1,
    is_virtual: bool = True,
    has_policies: bool = True,
) -> Callable[[Measurement], Measurement]:
    """Register a measurement under a name."""

    def register(measure: Measurement) -> Measurement:
        BENCHMARKS[name] = Benchmark(
            name,
            measure,
            seed,
            is_virtual,
            has_policies,
        )
        return measure

    return register
