"""Recovery after a surge and after a slowed service."""

import functools
from collections.abc import Sequence

import trio

from boragetrestle_bench.deployment import DEPLOYMENTS
from boragetrestle_bench.figure import Figure, Limit
from boragetrestle_bench.goodput_bench import demand_at
from boragetrestle_bench.measures import recovery_seconds
from boragetrestle_bench.registry import benchmark
from boragetrestle_bench.scenario import Scenario
from boragetrestle_node.policies import Policies
from boragetrestle_standin.fleet import Fleet

_STEADY_MULTIPLE = 0.9
_SURGE_MULTIPLE = 10
_SURGE_START = 5.0
_SURGE_STOP = 65.0
_SLOW_START = 5.0
_SLOW_STOP = 35.0
_SLOWDOWN = 10
_WATCH_SECONDS = 25.0
_RETRIES = 2
_REQUIRED_SHARE = 0.95
_MAX_RECOVERY_SECONDS = 5.0
_SOURCE = 'issue 4: 95% of capacity within 5 s'


def _surge(name: str, policies: Policies, seed: int) -> Sequence[Figure]:
    deployment = DEPLOYMENTS[name]()
    stop = _SURGE_STOP + _WATCH_SECONDS
    steady = demand_at(deployment, _STEADY_MULTIPLE, start=0, stop=stop)
    surge = demand_at(
        deployment,
        _SURGE_MULTIPLE,
        start=_SURGE_START,
        stop=_SURGE_STOP,
        retries=_RETRIES,
    )
    scenario = Scenario(deployment, policies=policies, seed=seed)
    run = scenario.run([*steady, *surge])
    return [
        Figure(
            'recovery after the surge, s',
            recovery_seconds(
                run.outcomes,
                well_at=_SURGE_STOP,
                stop=stop,
                required=deployment.capacity
                * _STEADY_MULTIPLE
                * _REQUIRED_SHARE,
            ),
            bound=_MAX_RECOVERY_SECONDS,
            limit=Limit.AT_MOST,
            source=_SOURCE,
        ),
    ]


async def _slow_down(service: str, fleet: Fleet) -> None:
    await trio.sleep(_SLOW_START)
    for host in fleet.of_service(service):
        host.target.faults.slowdown = _SLOWDOWN
    await trio.sleep(_SLOW_STOP - _SLOW_START)
    for host in fleet.of_service(service):
        host.target.faults.slowdown = 1


def _slowed(name: str, policies: Policies, seed: int) -> Sequence[Figure]:
    deployment = DEPLOYMENTS[name]()
    stop = _SLOW_STOP + _WATCH_SECONDS
    scenario = Scenario(
        deployment,
        policies=policies,
        seed=seed,
        disturb=functools.partial(_slow_down, deployment.bottleneck),
    )
    run = scenario.run(
        demand_at(
            deployment,
            _STEADY_MULTIPLE,
            start=0,
            stop=stop,
            retries=_RETRIES,
        ),
    )
    return [
        Figure(
            'recovery after the service is well, s',
            recovery_seconds(
                run.outcomes,
                well_at=_SLOW_STOP,
                stop=stop,
                required=deployment.capacity
                * _STEADY_MULTIPLE
                * _REQUIRED_SHARE,
            ),
            bound=_MAX_RECOVERY_SECONDS,
            limit=Limit.AT_MOST,
            source=_SOURCE,
        ),
    ]


def _register(name: str) -> None:
    @benchmark(f'recovery-{name}-surge')
    def measure_surge(policies: Policies, seed: int) -> Sequence[Figure]:
        return _surge(name, policies, seed)

    @benchmark(f'recovery-{name}-slowed')
    def measure_slowed(policies: Policies, seed: int) -> Sequence[Figure]:
        return _slowed(name, policies, seed)


def _register_all() -> None:
    for name in DEPLOYMENTS:
        _register(name)


_register_all()
