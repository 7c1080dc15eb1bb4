"""Test slot leases: limit, expiry, lost messages, fairness of nodes."""

import random
from functools import partial

import trio
import trio.testing
from builders import READ, running_fleet, service, service_text
from guard_builders import slot_guard

from boragetrestle_kernel.call_class import CallClass
from boragetrestle_kernel.ids import NodeId, OrgId
from boragetrestle_kernel.target_record import TargetRecord, TargetState
from boragetrestle_kernel.timeline import EventKind
from boragetrestle_node.lease_message import LeaseRequest, UseReport
from boragetrestle_node.leased_slots import LeasedSlots
from boragetrestle_node.lender import LEASE_SECONDS
from boragetrestle_node.limit_policy import CallEnd
from boragetrestle_node.policies import Policies
from boragetrestle_node.slot_lease import SlotLease
from boragetrestle_node.waiter import Waiter
from boragetrestle_standin.fleet import Answer
from boragetrestle_standin.host_plan import HostPlan

_LEASED = Policies(slots='leased', limit='fixed', queue='fifo')
_PATH = '/walks/items/7'
_TEXT = service_text(
    service('walks', routes=(READ,)),
    service('gate', routes=(READ,)),
)
_HOLDERS = 3
_LIMIT = 6


def _plans(*, callers=1, **plan):
    return [HostPlan('walks', **plan), *[HostPlan('gate')] * callers]


def _record(**changes):
    values = {
        'target': 't',
        'service': 'walks',
        'node': 'n',
        'domain': 'a',
        'address': '127.0.0.1:1',
        'node_calls': '127.0.0.1:2',
        'node_peers': '127.0.0.1:3',
        'node_admin': '127.0.0.1:4',
        'slots': _LIMIT,
        'connections': 100,
    }
    return TargetRecord(**{**values, **changes})


def _guard(limit=_LIMIT, **changes):
    return slot_guard(slots=limit, queue='fifo', record=_record(**changes))


def _request(wanted, *, held=0, busy=0):
    return LeaseRequest('t', '127.0.0.1:5', held, busy, wanted)


async def _call_often(run, host, *, count, gap, answers):
    async def call():
        answers.append(await run.fleet.call(host, _PATH, key=run.key))

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(call)
            await trio.sleep(gap)


async def _call_ten_at_once(run, host, answers):
    await _call_often(run, host, count=10, gap=0, answers=answers)


def _count_hops(host):
    """Count the calls that enter the node of a host."""
    counted = []
    handle = host.node.entry.guarded.serve

    async def serve(call, request, connection):
        counted.append(call)
        await handle(call, request, connection)

    host.node.entry.guarded.serve = serve
    return counted


async def test_calls_with_a_lease_skip_the_guard(autojump_clock):
    async with running_fleet(
        _plans(work=0.01), text=_TEXT, policies=_LEASED
    ) as run:
        walks, gate = run.fleet.hosts
        hops = _count_hops(walks)
        answers: list[Answer] = []
        await _call_often(run, gate, count=200, gap=0.05, answers=answers)
    assert [answer.status for answer in answers] == [200] * 200
    assert walks.target.calls.total() == 200
    assert len(hops) == 1


async def test_limit_holds_with_leases_guard_and_crash(autojump_clock):
    plans = _plans(callers=4, slots=7, work=0.05)
    async with running_fleet(plans, text=_TEXT, policies=_LEASED) as run:
        walks, *callers = run.fleet.hosts
        answers: list[Answer] = []
        async with trio.open_nursery() as nursery:
            for host in callers:
                nursery.start_soon(
                    partial(
                        _call_often,
                        run,
                        host,
                        count=150,
                        gap=0.04,
                        answers=answers,
                    ),
                )
            await trio.sleep(2)
            extra = run.fleet.make_host(HostPlan('gate'))
            run.nursery.start_soon(extra.run)
            await trio.sleep(0.5)
            extra.crash()
    assert walks.target.max_running <= 7
    assert {answer.status for answer in answers} <= {200, 503}
    assert sum(answer.status == 200 for answer in answers) > 500


async def test_dead_holder_costs_its_lease_only(autojump_clock):
    async with running_fleet(
        _plans(work=0.01), text=_TEXT, policies=_LEASED
    ) as run:
        walks, gate = run.fleet.hosts
        await _call_often(run, gate, count=40, gap=0.005, answers=[])
        guard = next(iter(walks.node.guards.by_target.values()))
        lent = guard.in_use
        gate.crash()
        await trio.sleep(LEASE_SECONDS)
        left = guard.in_use
        kinds = [event.kind for event in walks.node.timeline.other_events]
    assert lent > 0
    assert left == 0
    assert EventKind.LEASE_LAPSED in kinds


async def test_unused_slots_are_given_back(autojump_clock):
    async with running_fleet(
        _plans(work=0.01), text=_TEXT, policies=_LEASED
    ) as run:
        walks, gate = run.fleet.hosts
        await _call_often(run, gate, count=40, gap=0.005, answers=[])
        guard = next(iter(walks.node.guards.by_target.values()))
        lent = guard.in_use
        await trio.sleep(4)
        ledger = gate.node.slots
        assert isinstance(ledger, LeasedSlots)
        kept = [lease.is_renewing for lease in ledger.leases.values()]
    assert lent > 0
    assert kept == [False]
    assert not guard.lender.book.entries


async def test_idle_slots_are_recalled_for_waiting_calls(autojump_clock):
    plans = _plans(callers=2, slots=10, work=0.1)
    async with running_fleet(plans, text=_TEXT, policies=_LEASED) as run:
        _, first, second = run.fleet.hosts
        await _call_often(run, first, count=60, gap=0.015, answers=[])
        answers: list[Answer] = []
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_call_ten_at_once, run, second, answers)
            await trio.sleep(0.05)
            running = run.fleet.hosts[0].target.running
            nursery.cancel_scope.cancel()
    assert running == 10


async def test_no_node_starves_another(autojump_clock):
    plans = _plans(callers=6, slots=2, work=0.02)
    async with running_fleet(plans, text=_TEXT, policies=_LEASED) as run:
        _, *callers = run.fleet.hosts
        answers: list[list[Answer]] = [[] for _ in callers]
        async with trio.open_nursery() as nursery:
            for host, own in zip(callers, answers, strict=True):
                nursery.start_soon(
                    partial(
                        _call_often,
                        run,
                        host,
                        count=50,
                        gap=0.07,
                        answers=own,
                    ),
                )
    good = [sum(answer.status == 200 for answer in own) for own in answers]
    assert min(good) == 50


async def test_paused_holder_finds_its_lease_lapsed(autojump_clock):
    guard = _guard()
    lease = SlotLease(guard.target)
    for _ in range(2):
        lease.count_start()
    sent_at = trio.current_time()
    await trio.sleep(0.1)
    grant = guard.lender.handle_request(NodeId('n1'), lease.make_request(''))
    lease.apply_grant(grant, sent_at=sent_at)
    assert lease.acquire_slot()
    lease.release_slot(CallEnd.ANSWERED, 0)
    await trio.sleep(LEASE_SECONDS - 0.15)
    assert not lease.acquire_slot()
    assert guard.in_use == grant.slots
    assert lease.make_request('').held == 0


async def test_draining_target_lends_nothing(autojump_clock):
    guard = _guard(state=TargetState.DRAINING)
    assert guard.lender.handle_request(NodeId('n1'), _request(3)).slots == 0
    assert (
        guard.lender.handle_request(
            NodeId('n1'), _request(3, held=2, busy=1)
        ).slots
        == 1
    )


async def test_nothing_is_lent_while_a_call_waits(autojump_clock):
    guard = _guard(limit=4)
    guard.running = 4
    guard.queue.push(
        Waiter(OrgId(''), CallClass.BULK, queued_at=0, give_up_at=9)
    )
    guard.running = 3
    guard.policy.ceiling = 3
    renewed = guard.lender.handle_request(
        NodeId('n1'), _request(3, held=2, busy=1)
    )
    assert renewed.slots == 1
    assert renewed.pause > 0


async def test_slots_are_shared_evenly_by_wish(autojump_clock):
    guard = _guard(limit=10)
    greedy = guard.lender.handle_request(NodeId('n1'), _request(50))
    second = guard.lender.handle_request(NodeId('n2'), _request(2))
    renewed = guard.lender.handle_request(
        NodeId('n1'), _request(50, held=greedy.slots)
    )
    late = guard.lender.handle_request(
        NodeId('n1'), _request(50, held=renewed.slots)
    )
    third = guard.lender.handle_request(
        NodeId('n2'), _request(2, held=second.slots)
    )
    assert (greedy.slots, second.slots) == (9, 0)
    assert (renewed.slots, late.slots) == (7, 7)
    assert third.slots == 2


async def test_sheds_under_leases_lower_the_limit(autojump_clock):
    guard = slot_guard(slots=20, limit='additive-increase')
    request = LeaseRequest('t', '', 0, 0, 4, UseReport(shed=20))
    for _ in range(10):
        guard.lender.handle_request(NodeId('n1'), request)
    assert guard.limit < 10


class _LeaseModel:
    """A guard and holders whose messages are delayed or lost.

    Calls are shorter than leases: a call has ended when its lease expires.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.guard = _guard()
        self.leases = [SlotLease(self.guard.target) for _ in range(_HOLDERS)]
        self.late = {}

    def in_use(self):
        """Return the slots in which calls run or may start now."""
        now = trio.current_time()
        lent = [
            max(lease.busy, lease.slots)
            for lease in self.leases
            if now < lease.expires_at
        ]
        return self.guard.running + sum(lent)

    def end_lapsed(self):
        for lease in self.leases:
            while lease.busy and trio.current_time() >= lease.expires_at:
                self.end(lease)

    def ask(self, lease):
        self.late.pop(lease, None)
        sent_at = trio.current_time()
        request = lease.make_request('')
        delivery = self.rng.choice(('lost', 'answer-lost', 'late', 'answered'))
        if delivery == 'lost':
            return
        node = NodeId(str(self.leases.index(lease)))
        grant = self.guard.lender.handle_request(node, request)
        if delivery == 'answered':
            lease.apply_grant(grant, sent_at=sent_at)
        if delivery == 'late':
            self.late[lease] = (grant, sent_at)

    def receive(self, lease):
        if lease in self.late:
            grant, sent_at = self.late.pop(lease)
            lease.apply_grant(grant, sent_at=sent_at)

    def start(self, lease):
        if lease.acquire_slot():
            lease.count_start()

    def end(self, lease):
        if lease.busy:
            lease.count_end()
            lease.release_slot(CallEnd.ANSWERED, 0)

    def wish(self, lease):
        lease.start_demand_period()
        lease.start_demand_period()
        lease.peak = max(self.rng.randrange(9), lease.running)

    def recall(self, lease):
        lease.shrink(lease.busy)

    def guarded_call(self, _lease):
        if self.guard.in_use < self.guard.limit:
            self.guard.running += 1

    def guarded_end(self, _lease):
        self.guard.running = max(0, self.guard.running - 1)

    def queue(self, _lease):
        if not self.guard.queue.shed():
            self.guard.queue.push(
                Waiter(OrgId(''), CallClass.BULK, queued_at=0, give_up_at=9)
            )
            self.guard.start_queued_calls()


_STEPS = (
    *['ask', 'start', 'end', 'receive'] * 3,
    *['wish', 'recall', 'guarded_call', 'guarded_end', 'queue', 'sleep'],
)


async def _run_model(seed):
    model = _LeaseModel(seed)
    for _ in range(300):
        name = model.rng.choice(_STEPS)
        if name == 'sleep':
            await trio.sleep(model.rng.uniform(0, 0.7))
        else:
            getattr(model, name)(model.rng.choice(model.leases))
        model.end_lapsed()
        assert model.in_use() <= model.guard.in_use <= _LIMIT


def test_slots_in_use_never_pass_the_limit():
    for seed in range(60):
        clock = trio.testing.MockClock(autojump_threshold=0)
        trio.run(_run_model, seed, clock=clock)
