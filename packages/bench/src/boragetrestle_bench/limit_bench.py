"""How limits and queue orders serve one target that may mislead."""

import random
from collections.abc import Sequence
from typing import NamedTuple

import trio
import trio.testing

from boragetrestle_bench.figure import Figure, Limit
from boragetrestle_bench.model_target import ModelTarget, TargetModel
from boragetrestle_bench.registry import benchmark
from boragetrestle_kernel.call_class import CallClass
from boragetrestle_kernel.clock import VirtualWallClock
from boragetrestle_kernel.hybrid_clock import HybridClock
from boragetrestle_kernel.ids import (
    CallId,
    DomainName,
    KeyId,
    NodeId,
    OrgId,
    ServiceName,
    TargetId,
)
from boragetrestle_kernel.refusal import RefusedError
from boragetrestle_kernel.service_text import Route
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_kernel.timeline import Timeline
from boragetrestle_node.call import Call
from boragetrestle_node.guards import build_guard
from boragetrestle_node.policies import Policies
from boragetrestle_node.service_times import ServiceTimes

_SECONDS = 15.0
_WARM_SECONDS = 3.0
_DEADLINE_SECONDS = 2.0
_OK = 200
_MEDIAN = 0.5
_TAIL = 0.99
_CLASSES = tuple(CallClass)
_ROUTE = Route('GET', '/*', deadline=_DEADLINE_SECONDS)
_ADDRESS = '127.0.0.1:1'


class Plan(NamedTuple):
    """A target and the load on it, in multiples of its capacity."""

    model: TargetModel
    load: float


_FEW_SLOTS = 16
_LIGHT = 0.8
_OVERLOAD = 3.0
_THRASHING = TargetModel(true_slots=_FEW_SLOTS)
_SHEDDING = TargetModel(true_slots=_FEW_SLOTS, shed_above=_FEW_SLOTS)
_SLOW_SPELL = TargetModel(slow_from=5, slow_until=9, slowdown=10)

PLANS: dict[str, Plan] = {
    'honest-light': Plan(TargetModel(), load=_LIGHT),
    'honest-overload': Plan(TargetModel(), load=_OVERLOAD),
    'thrashing-light': Plan(_THRASHING, load=_LIGHT),
    'thrashing-overload': Plan(_THRASHING, load=_OVERLOAD),
    'shedding-overload': Plan(_SHEDDING, load=_OVERLOAD),
    'slow-spell': Plan(_SLOW_SPELL, load=_LIGHT),
}


class _Run:
    """Offer calls to one guard and count whole answers."""

    def __init__(self, plan: Plan, policies: Policies, seed: int) -> None:
        self.plan = plan
        self.rng = random.Random(seed)
        self.target = ModelTarget(plan.model, self.rng)
        self.guard = build_guard(
            _record(plan.model),
            policies=policies,
            weight_of=lambda _org: 1,
            times=ServiceTimes(),
            timeline=Timeline(HybridClock(VirtualWallClock()), node='model'),
            rng=self.rng,
            on_queued=lambda _guard: None,
        )
        self.offered = 0
        self.good = 0
        self.seconds: list[float] = []

    async def offer(self) -> None:
        """Offer calls with exponential gaps."""
        rate = self.plan.load * self.plan.model.capacity
        async with trio.open_nursery() as nursery:
            while trio.current_time() < _SECONDS:
                nursery.start_soon(self._call)
                await trio.sleep(self.rng.expovariate(rate))

    def figures(self) -> list[Figure]:
        """Return goodput and latency after the warm-up."""
        seconds = _SECONDS - _WARM_SECONDS
        fitting = min(self.offered, self.plan.model.capacity * seconds)
        ordered = sorted(self.seconds)
        return [
            Figure(
                'goodput over what fits',
                self.good / fitting,
            ),
            Figure('p50 of answered calls, s', _quantile(ordered, _MEDIAN)),
            Figure(
                'p99 of answered calls, s',
                _quantile(ordered, _TAIL),
                bound=_DEADLINE_SECONDS,
                limit=Limit.AT_MOST,
                source='issue 4: nothing starts that cannot end in time',
            ),
        ]

    async def _call(self) -> None:
        started_at = trio.current_time()
        is_counted = started_at >= _WARM_SECONDS
        self.offered += is_counted
        call = _make_call(self.rng, started_at)
        with trio.move_on_at(call.deadline):
            if await self._is_good(call) and is_counted:
                self.good += 1
                self.seconds.append(trio.current_time() - started_at)

    async def _is_good(self, call: Call) -> bool:
        try:
            async with self.guard.hold(call) as slot:
                slot.forwarded = await self.target.run()
        except RefusedError:
            return False
        return slot.forwarded.status == _OK


def measure(plan: Plan, policies: Policies, seed: int) -> list[Figure]:
    """Run one plan on a virtual clock."""

    async def run() -> list[Figure]:
        state = _Run(plan, policies, seed)
        await state.offer()
        return state.figures()

    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(run, clock=clock)


def _quantile(ordered: list[float], share: float) -> float:
    return ordered[int(len(ordered) * share)] if ordered else 0


def _make_call(rng: random.Random, now: float) -> Call:
    return Call(
        call_id=CallId(''),
        organisation=OrgId(str(rng.randrange(8))),
        key_id=KeyId(''),
        service=ServiceName('model'),
        route=_ROUTE,
        call_class=rng.choice(_CLASSES),
        deadline=now + _DEADLINE_SECONDS,
        attempts_left=1,
    )


def _record(model: TargetModel) -> TargetRecord:
    return TargetRecord(
        target=TargetId('model'),
        service=ServiceName('model'),
        node=NodeId('node'),
        domain=DomainName('a'),
        address=_ADDRESS,
        node_calls=_ADDRESS,
        node_peers=_ADDRESS,
        node_admin=_ADDRESS,
        slots=model.declared,
        connections=model.declared,
    )


def _register(name: str, plan: Plan) -> None:
    @benchmark(f'limits-{name}')
    def measure_plan(policies: Policies, seed: int) -> Sequence[Figure]:
        return measure(plan, policies, seed)


def _register_all() -> None:
    for name, plan in PLANS.items():
        _register(name, plan)


_register_all()
