"""The names of the policies that a node runs."""

from typing import NamedTuple


class Policies(NamedTuple):
    """One registered name for each behaviour that varies.

    Benchmarks run the same node with other names to compare policies.
    """

    rates: str = 'escrow'
    choice: str = 'near-two-random'
    retries: str = 'chain-budget'
    slots: str = 'leased'
    limit: str = 'additive-increase'
    queue: str = 'class-fair'
