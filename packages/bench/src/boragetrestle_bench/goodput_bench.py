"""Goodput at multiples of capacity."""

import itertools
from collections.abc import Sequence

from boragetrestle_bench.demand import Demand
from boragetrestle_bench.deployment import DEPLOYMENTS, Deployment
from boragetrestle_bench.figure import Figure, Limit
from boragetrestle_bench.measures import answered_share, goodput
from boragetrestle_bench.registry import benchmark
from boragetrestle_bench.scenario import Scenario
from boragetrestle_kernel.call_class import CallClass
from boragetrestle_node.policies import Policies

_WARM_SECONDS = 5.0
_STOP_SECONDS = 20.0
_CAPACITY_SHARE = 0.95
_CRITICAL_SHARE = 0.99
_MAX_WASTED_SHARE = 0.02
_MULTIPLES = (1, 2, 3, 10)


def demand_at(
    deployment: Deployment,
    multiple: float,
    *,
    start: float,
    stop: float,
    retries: int = 0,
) -> list[Demand]:
    """Return demand at a multiple of capacity, spread over organisations.

    Critical calls stay at their share of the capacity.
    """
    names = [org.name for org in deployment.text.organisations]
    critical = deployment.capacity * _critical_share(deployment)
    rest = deployment.capacity * multiple - critical
    demands: list[Demand] = []
    for kind in deployment.traffic:
        is_critical = kind.call_class is CallClass.CRITICAL
        rate = critical if is_critical else rest * kind.share
        demands.extend(
            Demand(
                organisation=name,
                path=kind.path,
                rate=rate / len(names),
                start=start,
                stop=stop,
                call_class=kind.call_class,
                method=kind.method,
                retries=retries,
            )
            for name in names
        )
    return demands


def _critical_share(deployment: Deployment) -> float:
    return sum(
        kind.share
        for kind in deployment.traffic
        if kind.call_class is CallClass.CRITICAL
    )


def _measure(
    name: str,
    multiple: int,
    policies: Policies,
    seed: int,
) -> Sequence[Figure]:
    deployment = DEPLOYMENTS[name]()
    scenario = Scenario(deployment, policies=policies, seed=seed)
    run = scenario.run(
        demand_at(deployment, multiple, start=0, stop=_STOP_SECONDS),
    )
    window = (_WARM_SECONDS, _STOP_SECONDS)
    served = goodput(run.outcomes, *window)
    critical = answered_share(
        run.outcomes,
        *window,
        call_class=CallClass.CRITICAL,
    )
    answered = {out.call_id for out in run.outcomes if out.is_good}
    return [
        Figure(
            'goodput over capacity',
            served / deployment.capacity,
            bound=_CAPACITY_SHARE,
            source='issue 4: at least 95% of capacity',
        ),
        Figure(
            'critical calls over what they alone get',
            critical,
            bound=_CRITICAL_SHARE,
            source='issue 4: at least 99%',
        ),
        Figure(
            'slot time wasted on calls that failed',
            run.work_log.wasted_share(answered),
            bound=_MAX_WASTED_SHARE,
            limit=Limit.AT_MOST,
            source='issue 4: at most 2% of slot time',
        ),
    ]


def _register(name: str, multiple: int) -> None:
    @benchmark(f'goodput-{name}-{multiple}x')
    def measure(policies: Policies, seed: int) -> Sequence[Figure]:
        return _measure(name, multiple, policies, seed)


def _register_all() -> None:
    for name, multiple in itertools.product(DEPLOYMENTS, _MULTIPLES):
        _register(name, multiple)


_register_all()
