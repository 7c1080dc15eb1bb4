"""Overload of a deep service, and the return of goodput after it."""

from typing import NamedTuple

import trio
from builders import READ, organisation, running_fleet, service, service_text

from boragetrestle_bench.demand import Demand
from boragetrestle_bench.load import Load
from boragetrestle_bench.outcome import Outcome
from boragetrestle_kernel.call_class import CallClass
from boragetrestle_kernel.service_text import Route
from boragetrestle_node.node import DEFAULT_POLICIES
from boragetrestle_standin.host_plan import HostPlan, OnwardCall

CAPACITY = 80
RECOVERY_SECONDS = 5.0

_CRITICAL = Route(
    'GET',
    '/gates/*',
    call_class='critical',
    idempotent=True,
    deadline=2.0,
)
_READ = Route('GET', '/items/*', idempotent=True, deadline=2.0)
_ROUTES = (_READ, _CRITICAL)
_TEXT = service_text(
    service('front', 'middle', routes=_ROUTES),
    service('middle', 'deep', routes=_ROUTES),
    service('deep', routes=(READ, *_ROUTES[1:])),
    organisations=[
        organisation('acacia', rate=10_000, burst=10_000),
        organisation('baobab', rate=10_000, burst=10_000),
    ],
)
_PLANS = [
    *[
        HostPlan(
            'front', work=0.01, onward=(OnwardCall('GET', '/middle/items/1'),)
        )
    ]
    * 2,
    *[
        HostPlan(
            'middle', work=0.01, onward=(OnwardCall('GET', '/deep/items/1'),)
        )
    ]
    * 2,
    *[HostPlan('deep', work=0.1, slots=4)] * 2,
]
_POLICIES = DEFAULT_POLICIES._replace(slots='leased')


class Window(NamedTuple):
    """Good answers a second between two times of a load."""

    outcomes: list[Outcome]
    origin: float

    def goodput(self, start, stop, organisation=None):
        good = [
            outcome
            for outcome in self.outcomes
            if outcome.is_good
            and start <= outcome.sent_at - self.origin < stop
            and organisation in {None, outcome.demand.organisation}
        ]
        return len(good) / (stop - start)

    def share(self, code, start):
        late = [
            outcome
            for outcome in self.outcomes
            if outcome.sent_at - self.origin >= start and not outcome.is_good
        ]
        return sum(out.code == code for out in late) / max(1, len(late))


async def _run(demands, *, disturb=None, policies=_POLICIES):
    async with running_fleet(_PLANS, text=_TEXT, policies=policies) as run:
        baobab = await run.operator.give_key('baobab')
        await trio.sleep(4)
        keys = {'acacia': run.key, 'baobab': baobab.key}
        load = Load(run.fleet, keys=keys, seed=1)
        origin = trio.current_time()
        if disturb is not None:
            run.nursery.start_soon(disturb, run)
        await load.run(demands)
        return Window(load.outcomes, origin)


def _demand(rate, start, stop, *, org='acacia', path='/front/items/1'):
    return Demand(org, path, rate=rate, start=start, stop=stop)


async def test_entry_refuses_what_the_deep_service_would(autojump_clock):
    window = await _run([_demand(4 * CAPACITY, 0, 9)])
    assert window.goodput(2, 9) >= 0.95 * CAPACITY
    assert window.share('dependency-overloaded', 2) > 0.9


async def test_goodput_returns_after_a_surge(autojump_clock):
    window = await _run([
        _demand(0.5 * CAPACITY, 0, 14),
        _demand(9.5 * CAPACITY, 3, 5),
    ])
    after = 5 + RECOVERY_SECONDS
    assert window.goodput(after, 14) >= 0.95 * 0.5 * CAPACITY


async def test_goodput_returns_after_the_deep_service_was_slow(
    autojump_clock,
):
    async def slow(run):
        deep = run.fleet.of_service('deep')
        await trio.sleep(4)
        for host in deep:
            host.target.faults.slowdown = 10
        await trio.sleep(8)
        for host in deep:
            host.target.faults.slowdown = 1

    window = await _run([_demand(0.6 * CAPACITY, 0, 22)], disturb=slow)
    after = 12 + RECOVERY_SECONDS
    assert window.goodput(after, 22) >= 0.95 * 0.6 * CAPACITY


async def test_critical_calls_pass_while_others_are_shed(autojump_clock):
    gates = Demand(
        'acacia',
        '/front/gates/1',
        rate=0.3 * CAPACITY,
        start=0,
        stop=8,
        call_class=CallClass.CRITICAL,
    )
    window = await _run([gates, _demand(3 * CAPACITY, 0, 8)])
    good = [
        out.is_good
        for out in window.outcomes
        if out.demand is gates and out.sent_at - window.origin > 2
    ]
    assert len(good) > 80
    assert sum(good) >= 0.99 * len(good)


async def test_organisation_within_its_share_is_not_crowded_out(
    autojump_clock,
):
    window = await _run([
        _demand(0.4 * CAPACITY, 0, 10, org='baobab'),
        _demand(3 * CAPACITY, 0, 10),
    ])
    assert window.goodput(4, 10, 'baobab') >= 0.9 * 0.4 * CAPACITY
