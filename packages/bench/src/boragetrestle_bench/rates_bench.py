"""Overshoot and wrongful refusals of the rate policies."""

import random
from collections.abc import Sequence

from boragetrestle_bench.figure import Figure, Limit
from boragetrestle_bench.rate_run import NodeChooser, RateRun, overshoot
from boragetrestle_bench.registry import benchmark
from boragetrestle_kernel.service_text import Organisation
from boragetrestle_node.policies import Policies

NODES = 16
POLICY_NAMES = ('even-split', 'owner', 'escrow')

_LOAD = 0.9
_FLOOD = 3.0
_SECONDS = 20.0
_STAY_SECONDS = 3.0
_HOT_SHARE = 0.9
_MAX_REFUSED = 0.001
_MAX_OVERSHOOT = 1e-6


def _organisation() -> Organisation:
    return Organisation('acacia', rate=100, burst=100)


def _even(_at: float, rng: random.Random) -> int:
    return rng.randrange(NODES)


def _skewed(_at: float, rng: random.Random) -> int:
    return 0 if rng.random() < _HOT_SHARE else rng.randrange(NODES)


def _moving(at: float, _rng: random.Random) -> int:
    return int(at // _STAY_SECONDS) % NODES


_DEMANDS: dict[str, NodeChooser] = {
    'even': _even,
    'skewed': _skewed,
    'moving': _moving,
}


def _measure(name: str, demand: str, seed: int) -> list[Figure]:
    run = RateRun(
        _organisation(),
        nodes=NODES,
        policies=Policies(rates=name),
        seed=seed,
    )
    outcome = run.run(_DEMANDS[demand], load=_LOAD, seconds=_SECONDS)
    is_bound = name == 'escrow'
    waited = len([wait for wait in outcome.waits if wait])
    return [
        Figure(
            f'{name}: refused although inside the rate',
            outcome.refused_share,
            bound=_MAX_REFUSED if is_bound else None,
            limit=Limit.AT_MOST,
            source='issue 5: at most 0.1%',
        ),
        Figure(
            f'{name}: calls over rate and burst',
            overshoot(outcome.admitted, run.organisation),
            bound=_MAX_OVERSHOOT if is_bound else None,
            limit=Limit.AT_MOST,
            source='brief: never over the rate',
        ),
        Figure(
            f'{name}: calls that waited for a token',
            waited / len(outcome.waits),
        ),
        Figure(
            f'{name}: messages a second and node',
            outcome.messages / _SECONDS / NODES,
        ),
    ]


def _flood(name: str, seed: int) -> Figure:
    run = RateRun(
        _organisation(),
        nodes=NODES,
        policies=Policies(rates=name),
        seed=seed,
    )
    outcome = run.run(_even, load=_FLOOD, seconds=_SECONDS)
    return Figure(
        f'{name}: calls over rate and burst at three times the rate',
        overshoot(outcome.admitted, run.organisation),
        bound=_MAX_OVERSHOOT if name == 'escrow' else None,
        limit=Limit.AT_MOST,
        source='brief: never over the rate',
    )


def _register(demand: str) -> None:
    @benchmark(f'rates-{demand}', has_policies=False)
    def measure(_policies: Policies, seed: int) -> Sequence[Figure]:
        return [
            figure
            for name in POLICY_NAMES
            for figure in _measure(name, demand, seed)
        ]


@benchmark('rates-flood', has_policies=False)
def measure_flood(_policies: Policies, seed: int) -> Sequence[Figure]:
    """Measure the overshoot of demand at three times the rate."""
    return [_flood(name, seed) for name in POLICY_NAMES]


def _register_all() -> None:
    for demand in _DEMANDS:
        _register(demand)


_register_all()
