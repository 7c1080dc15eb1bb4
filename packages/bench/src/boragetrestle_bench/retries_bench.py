"""Attempts that reach the deepest service of a failing chain."""

import functools
from collections.abc import Sequence

import trio

from boragetrestle_bench.demand import Demand
from boragetrestle_bench.deployment import Deployment, organisations
from boragetrestle_bench.figure import Figure, Limit
from boragetrestle_bench.registry import benchmark
from boragetrestle_bench.scenario import Scenario
from boragetrestle_kernel.service_text import (
    Dependency,
    Route,
    Service,
    ServiceText,
)
from boragetrestle_node.identity import CALL_ATTEMPTS
from boragetrestle_node.policies import Policies
from boragetrestle_standin.fleet import Fleet
from boragetrestle_standin.host_plan import HostPlan, OnwardCall

_DEPTH = 14
_HOSTS_PER_SERVICE = 2
_WORK_SECONDS = 0.01
_CALLS_PER_SECOND = 2.0
_STOP_SECONDS = 10.0
_DEADLINE_SECONDS = 30.0


def chain(depth: int = _DEPTH) -> Deployment:
    """Return a chain of services, each of which calls the next."""
    names = [f'step-{place}' for place in range(depth)]
    route = Route(
        'GET',
        '/items/*',
        idempotent=True,
        deadline=_DEADLINE_SECONDS,
    )
    following = dict(zip(names, names[1:], strict=False))
    services = [
        Service(
            name,
            routes=(route,),
            depends_on=(
                (Dependency(following[name]),) if name in following else ()
            ),
        )
        for name in names
    ]
    plans = [
        HostPlan(
            name,
            work=_WORK_SECONDS,
            onward=(
                (OnwardCall('GET', f'/{following[name]}/items/1'),)
                if name in following
                else ()
            ),
        )
        for name in names
        for _ in range(_HOSTS_PER_SERVICE)
    ]
    return Deployment(
        name='chain',
        text=ServiceText(tuple(services), organisations()),
        plans=tuple(plans),
        bottleneck=names[-1],
        capacity=_CALLS_PER_SECOND,
        traffic=(),
    )


async def _fail(service: str, fleet: Fleet) -> None:
    for host in fleet.of_service(service):
        host.target.faults.is_failing = True
    await trio.lowlevel.checkpoint()


@benchmark('retries-chain-of-14')
def measure(policies: Policies, seed: int) -> Sequence[Figure]:
    """Count the attempts at the last service while it fails every call."""
    deployment = chain()
    scenario = Scenario(
        deployment,
        policies=policies,
        seed=seed,
        disturb=functools.partial(_fail, deployment.bottleneck),
    )
    demand = Demand(
        organisation='org-0',
        path='/step-0/items/1',
        rate=_CALLS_PER_SECOND,
        start=0,
        stop=_STOP_SECONDS,
    )
    run = scenario.run([demand])
    attempts = run.work_log.attempts_at(deployment.bottleneck)
    return [
        Figure(
            'attempts at the deepest of 14 per call at entry',
            attempts / len(run.outcomes),
            bound=CALL_ATTEMPTS,
            limit=Limit.AT_MOST,
            source='issue 4: at most the budget',
        ),
    ]
