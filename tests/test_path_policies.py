"""Tests of admission, placement, rates and retries without a network."""

import asyncio
from collections import Counter
from typing import Any

import pytest
from entry_builders import (
    EntryHarness,
    FakeHop,
    fleet_of,
    node_load,
    request_bytes,
    status,
    total_of,
)
from path_builders import (
    GuardHarness,
    LineLog,
    ManualClock,
    chance,
    configuration,
    organisation,
    route,
    run_order,
)
from path_standins import Host, MemoryStore
from tree_builders import rows_of

from boragetrestle_kernel.ids import ServiceName
from boragetrestle_sidecar.admission.admission import Admission
from boragetrestle_sidecar.admission.admission_plan import (
    RouteDemand,
    plan_admission,
)
from boragetrestle_sidecar.admission.call_graph import CallGraph
from boragetrestle_sidecar.call_attribution import CallAttribution
from boragetrestle_sidecar.fleet import Fleet
from boragetrestle_sidecar.fleet_load import CostSum
from boragetrestle_sidecar.node_status import RouteCost
from boragetrestle_sidecar.organisation_policy import OrganisationPolicy
from boragetrestle_sidecar.outcome import (
    GuardLoad,
    Outcome,
    OutcomeKind,
    Reason,
)
from boragetrestle_sidecar.placement import GuardView, choose_guard
from boragetrestle_sidecar.rate_gate import RateGate
from boragetrestle_sidecar.rate_shares import RateShares, select_holders
from boragetrestle_sidecar.retry_budget import RetryBudget
from boragetrestle_sidecar.run_meter import RunMeter

SEATS = ServiceName('seats')


def fleet_at(now: float) -> Fleet:
    """Return a fleet with a stopped clock."""
    return fleet_of(ManualClock(now))


def guard(name: str, **fields: Any) -> GuardView:
    """Return an open guard in domain a."""
    view = GuardView(name, FakeHop(), domain='a')
    known = {
        'is_open': True,
        'limit': 10,
        'run_seconds': 0.1,
        'heard_at': 100.0,
    }
    for field, value in {**known, **fields}.items():
        setattr(view, field, value)
    return view


def shares_of(
    guards: list[GuardView],
    *,
    count: int = 2000,
    **options: Any,
) -> Counter[str]:
    """Return how often each guard is chosen."""
    known: dict[str, Any] = {
        'domain': 'a',
        'avoided': (),
        'is_responsive': fleet_at(100.0).is_responsive,
        'chance': chance(),
    }
    chosen = [
        choose_guard(guards, **{**known, **options}) for _ in range(count)
    ]
    return Counter(found.address for found in chosen if found)


def test_quicker_target_is_preferred_until_it_is_full() -> None:
    """Targets of one service differ in speed by three times."""
    quick, slow = guard('quick'), guard('slow', run_seconds=0.3)
    assert shares_of([quick, slow])['quick'] > 1900
    quick.running = 10
    quick.waiting = 30
    assert shares_of([quick, slow])['slow'] > 1900


def test_new_target_gets_work() -> None:
    """A target without completed runs is tried."""
    found = shares_of([guard('known'), guard('new', run_seconds=0.0)])
    assert found['new'] > 1000


def test_target_that_fails_quickly_is_not_the_quickest() -> None:
    """Quick failures must not attract requests."""
    grey = guard('grey', run_seconds=0.01, failing_share=0.5)
    assert shares_of([grey, guard('sound')])['sound'] > 1900


class FastFailingTarget:
    """A service of 12 targets, one of which can fail all runs at once."""

    def __init__(self) -> None:
        self.now = 100.0
        self.meter = RunMeter()
        self.meter.record_run_time('browse', 1.0)
        self.failing = guard('failing', run_seconds=0.9)
        others = [guard(f'sound-{number}') for number in range(11)]
        for other in others:
            other.run_seconds = 1.0
        self.guards = [self.failing, *others]
        self.chance = chance()

    def play(self, seconds: float, *, is_failing: bool) -> float:
        """Return the share of 100 runs a second that goes to the target."""
        taken = 0
        count = int(seconds * 100)
        for _ in range(count):
            self.now += 0.01
            self.failing.failing_share = self.meter.failing_share(self.now)
            chosen = choose_guard(
                self.guards,
                domain='a',
                avoided=(),
                is_responsive=lambda _guard: True,
                chance=self.chance,
            )
            if chosen is self.failing:
                taken += 1
                self.meter.record_result(is_failure=is_failing, now=self.now)
        return taken / count


def test_target_that_fails_all_runs_gets_few() -> None:
    """Long run times elsewhere must not favour quick failures."""
    played = FastFailingTarget()
    assert played.play(20, is_failing=True) < 0.02


def test_target_that_is_well_again_gets_its_share() -> None:
    """Its recovery shows only in runs that it is sent."""
    played = FastFailingTarget()
    played.play(10, is_failing=True)
    played.play(10, is_failing=False)
    assert played.play(20, is_failing=False) > 0.04


def test_failures_do_not_look_like_quick_runs() -> None:
    """The time of a failed run doesn't predict other run times."""
    bench = GuardHarness(slots=1)
    first = bench.submit(run_order('r-1'))
    bench.clock.now += 0.4
    bench.answer(first)
    second = bench.submit(run_order('r-2'))
    bench.answer(second, status=500)
    assert bench.guard.meter.run_seconds == pytest.approx(0.4)


def test_own_domain_is_preferred() -> None:
    """Crossing domains costs time and bytes."""
    far = guard('far', domain='b', run_seconds=0.095)
    assert shares_of([far, guard('near')])['near'] > 1900


def test_silent_guard_is_avoided_while_another_is_heard() -> None:
    """A node that hangs sends no status."""
    silent = guard('silent', heard_at=98.0)
    assert set(shares_of([silent, guard('heard')])) == {'heard'}
    assert set(shares_of([silent])) == {'silent'}


def test_guard_that_owes_a_word_is_avoided() -> None:
    """A guard that leaves runs unanswered is not sent more of them."""
    hop = FakeHop()
    hop.silent = 1.0
    silent = guard('silent', hop=hop)
    assert set(shares_of([silent, guard('heard')])) == {'heard'}


def test_guard_that_closes_is_known_from_its_next_outcome() -> None:
    """Until it is told, an entry would send it runs and it refuse them."""
    fleet = fleet_at(100.0)
    fleet.add('far', FakeHop())
    fleet.update_load(node_load('far'))
    (view,) = fleet.guards_of('walks')
    load = GuardLoad(0, 0, 10, 0.01, is_open=False)
    fleet.record_outcome(
        view,
        Outcome(OutcomeKind.NOT_SENT, Reason.UNREACHABLE, load=load),
    )
    assert not view.is_open


def test_slow_target_is_tried_again_now_and_then() -> None:
    """Otherwise one that has recovered would get no requests."""
    slow = guard('slow', run_seconds=5.0)
    assert 10 < shares_of([guard('quick'), slow])['slow'] < 100


def test_guard_runs_the_nearest_goal_first() -> None:
    """A short request runs before long ones that can wait."""
    bench = GuardHarness(slots=1)
    first = bench.submit(run_order('first', time_left=9))
    bench.submit(run_order('long', goal_left=1.5, time_left=5))
    bench.submit(run_order('short', goal_left=0.15, time_left=0.6))
    bench.answer(first)
    assert b'call-id' not in bench.sent()
    running = [job for job in bench.guard.jobs if job.connection]
    assert [job.order.request_id for job in running] == [b'short']


def test_run_that_can_not_make_its_goal_is_refused_at_once() -> None:
    """Its caller is told when to retry while it still has time."""
    bench = GuardHarness(slots=1)
    bench.guard.meter.record_run_time('browse', 0.3)
    for number in range(6):
        bench.submit(run_order(f'r-{number}', goal_left=1.0, time_left=3))
    refused = [
        outcome
        for outcome in bench.outcomes.values()
        if outcome.reason is Reason.QUEUE_FULL
    ]
    assert len(refused) >= 2
    assert all(outcome.retry_after > 0 for outcome in refused)


def test_onward_call_waits_while_its_time_allows() -> None:
    """Refusing it would waste the work of the run that made it."""
    bench = GuardHarness(slots=1)
    bench.guard.meter.record_run_time('browse', 0.3)
    for number in range(6):
        bench.submit(
            run_order(f'r-{number}', goal_left=0.3, time_left=3, is_call=True),
        )
    assert not bench.outcomes


@pytest.mark.parametrize('is_limited', [True, False])
def test_calls_are_attributed_to_the_routes_that_make_them(
    *,
    is_limited: bool,
) -> None:
    """Two routes share a target; runs on only one make onward calls."""
    learnt = CallAttribution(chance())
    random = chance()
    for step in range(400):
        names = random.choices(['caller', 'silent'], k=3)
        expiries = [step + random.random() for _ in names]
        runs = [
            learnt.start_run(name, expires_at)
            for name, expires_at in zip(names, expiries, strict=True)
        ]
        for name, expires_at in zip(names, expiries, strict=True):
            told = expires_at if is_limited else step - 1.0
            for _ in range(4 * (name == 'caller')):
                learnt.attribute_call('seats', told + random.uniform(0, 0.008))
        for run in runs:
            learnt.end_run(run, is_whole=True)
    calls = learnt.calls_per_run('caller').get('seats', 0)
    error = {True: 0.1, False: 0.25}[is_limited]
    assert calls == pytest.approx(4, rel=error)
    most = {True: 0.2, False: 0.6}[is_limited]
    assert learnt.calls_per_run('silent').get('seats', 0) <= most


def test_runs_that_expire_with_calls_of_others_get_none() -> None:
    """Guide runs happen to expire at the same time as calls of assets."""
    learnt = CallAttribution(chance())
    random = chance()
    assets = [learnt.start_run('asset', 9.0) for _ in range(50)]
    for step in range(3000):
        guide = learnt.start_run('guide', 0.65 + step / 1000)
        assets.append(learnt.start_run('asset', 9.0 + step / 1000))
        for _ in range(5):
            called_at = step / 1000 + random.uniform(0, 0.004)
            learnt.attribute_call('seats', called_at + 0.65)
        learnt.end_run(assets.pop(0), is_whole=True)
        learnt.end_run(guide, is_whole=True)
        if not step % 100:
            learnt.decay()
    assert learnt.calls_per_run('asset')['seats'] == pytest.approx(5, rel=0.1)
    assert learnt.calls_per_run('guide').get('seats', 0) == 0


def test_call_with_a_time_of_its_own_counts_for_its_run() -> None:
    """A call's own time limit may end well before its run expires."""
    bench = EntryHarness(route(needs_key=False))
    run = bench.attribution.start_run('lookup', bench.clock.now + 3)
    connection, _transport = bench.connect()
    connection.data_received(request_bytes(time_left=700))
    assert run.calls == {'browse': 1.0}


def learn_runs(learnt: CallAttribution, *, calls: int, is_whole: bool) -> None:
    """Record runs that make some calls and then succeed or fail."""
    for _ in range(200):
        run = learnt.start_run('lookup', 1.0)
        for _ in range(calls):
            learnt.attribute_call('seat', 1.0)
        learnt.end_run(run, is_whole=is_whole)
        learnt.decay()


def test_runs_that_fail_early_do_not_look_cheap() -> None:
    """Under overload, runs end at their first onward call that is refused.

    If their cost were measured from those runs, more of them would be admitted
    and the overload would never end.
    """
    learnt = CallAttribution()
    learn_runs(learnt, calls=8, is_whole=True)
    for _ in range(100):
        run = learnt.start_run('lookup', 1.0)
        learnt.attribute_call('seat', 1.0)
        learnt.end_run(run, is_whole=False)
    assert learnt.calls_per_run('lookup')['seat'] == pytest.approx(8, rel=0.1)
    learn_runs(learnt, calls=4, is_whole=True)
    assert learnt.calls_per_run('lookup')['seat'] == pytest.approx(4, rel=0.2)


def test_what_was_learnt_from_failing_runs_is_not_kept() -> None:
    """After a restart during an overload the first runs fail."""
    learnt = CallAttribution()
    learn_runs(learnt, calls=1, is_whole=False)
    learn_runs(learnt, calls=8, is_whole=True)
    assert learnt.calls_per_run('lookup')['seat'] == pytest.approx(8, rel=0.2)


def sums(*reports: list[RouteCost]) -> dict[str, CostSum]:
    """Return the sums of the costs that some nodes report."""
    return total_of(*(status(costs=costs) for costs in reports)).costs


def test_costs_are_weighed_by_the_runs_behind_them() -> None:
    """A node without observed runs doesn't lower a route's cost."""
    graph = CallGraph([route('top', services={'walks': 1})])
    learnt = RouteCost('top', {'seat': 8.0}, 0.1, 100.0)
    fresh = RouteCost('top', {}, 0.3, 0.0)
    graph.update_costs(sums([learnt], [fresh]))
    assert graph.costs['top'] == learnt


def test_calls_that_no_node_knows_any_more_are_kept() -> None:
    """While all runs of a route fail, no new costs are measured."""
    graph = CallGraph([route('top', services={'walks': 1})])
    graph.update_costs(sums([RouteCost('top', {'seat': 8.0}, 0.1, 100.0)]))
    graph.update_costs(sums([RouteCost('top', {}, 0.2, 0.0)]))
    assert graph.costs['top'].calls == {'seat': 8.0}


def test_cost_of_a_request_covers_all_services_below() -> None:
    """One request makes two calls, each of which makes four."""
    graph = CallGraph([
        route('top', services={'walks': 1}),
        route('middle', services={'gates': 1}),
        route('deep', services={'seats': 1}),
    ])
    graph.update_costs(
        sums([
            RouteCost('top', {'middle': 2.0}, 0.1, 9.0),
            RouteCost('middle', {'deep': 4.0}, 0.02, 9.0),
            RouteCost('deep', {}, 0.03, 9.0),
        ])
    )
    usage = graph.usage_of('top')
    assert usage[SEATS].runs == pytest.approx(8)
    assert usage[SEATS].slot_seconds == pytest.approx(0.24)


def test_cost_of_routes_that_call_each_other_is_bounded() -> None:
    """A cycle in the call graph is followed to a limited depth."""
    graph = CallGraph([route('top', services={'walks': 1})])
    graph.update_costs(sums([RouteCost('top', {'top': 1.0}, 0.1, 9.0)]))
    assert graph.usage_of('top')[ServiceName('walks')].runs < 20


class Overload:
    """A fleet with demand for seats of twice what the service can run."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.admission = Admission(
            chance(),
            LineLog(self.clock),
            clock=self.clock,
        )
        self.admission.configure(
            configuration(
                route('lookup', services={'walks': 1}, priority=2),
                route('search', services={'seats': 1}, priority=1),
                route('seat', services={'seats': 1}, needs_key=False),
            )
        )

    def plan(self, **fields: Any) -> dict[str, float]:
        """Return admitted shares of 100 lookups and 20 searches a second."""
        costs = [
            RouteCost('lookup', {'seat': 8.0}, 0.2, 9.0),
            RouteCost('seat', {}, 0.03, 9.0),
            RouteCost('search', {}, 0.05, 9.0),
        ]
        arrivals = {'lookup': 100.0, 'search': 20.0}
        self.admission.own_arrivals = arrivals
        self.admission.plan(
            total_of(
                status(
                    'walks',
                    limit=100,
                    costs=costs[:1],
                    arrivals=arrivals,
                ),
                status('seats', **{'limit': 13, 'costs': costs[1:], **fields}),
            )
        )
        return self.admission.admitted_shares


def test_deep_shortage_is_met_at_the_entry() -> None:
    """The more urgent route is admitted in full, the other as far as fits."""
    shares = Overload().plan()
    assert shares['search'] == 1.0
    used = 100 * shares['lookup'] * 8 * 0.03 + 20 * 0.05
    assert 0.9 * 13 <= used <= 13


def test_queued_work_lowers_what_is_admitted() -> None:
    """Admission leaves slots free for runs that wait in queues."""
    overload = Overload()
    calm = overload.plan()['lookup']
    assert overload.plan(waiting=40, run_seconds=0.03)['lookup'] < calm


def test_route_with_a_trace_of_the_scarce_service_is_not_cut() -> None:
    """Refusing it would free almost no slots for the others."""
    scales = plan_admission(
        [
            RouteDemand('lookup', 1, 100, {SEATS: 0.24}),
            RouteDemand('guide', 1, 100, {SEATS: 0.002}),
        ],
        {SEATS: 13.0},
    )
    assert scales['lookup'] == pytest.approx(13 / 24.2)
    assert scales['guide'] > 1


class Shortage(Overload):
    """A fleet that starts without known costs, at twice its capacity.

    A lookup makes 8 calls, one after the other, and ends at the first one that
    finds no slot in time.
    """

    def __init__(self) -> None:
        super().__init__()
        self.learnt = CallAttribution(chance(2))
        self.random = chance(3)
        self.calls = 0.0
        self.rate = 0.0

    def play(self, arrivals: float, seconds: float) -> float:
        """Return the share of the admitted lookups that complete."""
        admitted = 0
        completed = 0
        for step in range(1, int(seconds * arrivals) + 1):
            self.clock.now += 1 / arrivals
            lookup = self.admission.admitted_rates.get('lookup')
            if lookup is None or lookup.take_token(self.clock.now):
                admitted += 1
                completed += self.run_lookup()
            if step % int(arrivals / 4) == 0:
                self.plan_for(arrivals)
        return completed / admitted

    def run_lookup(self) -> bool:
        """Run a lookup; calls fail in proportion to the excess demand."""
        run = self.learnt.start_run('lookup', 1.0)
        is_whole = True
        for _ in range(8):
            self.learnt.attribute_call('seat', 1.0)
            self.calls += 1
            if self.random.random() > SEAT_CALLS / max(self.rate, SEAT_CALLS):
                is_whole = False
                break
        self.learnt.end_run(run, is_whole=is_whole)
        return is_whole

    def plan_for(self, arrivals: float) -> None:
        """Update the plan from measured costs, and the rate of calls."""
        self.rate = self.calls * 4
        self.calls = 0.0
        calls = self.learnt.calls_per_run('lookup')
        runs = self.learnt.observed_runs('lookup')
        self.admission.own_arrivals = {'lookup': arrivals}
        self.admission.plan(
            total_of(
                status(
                    'walks',
                    limit=1000,
                    costs=[RouteCost('lookup', calls, 0.2, runs)],
                    arrivals={'lookup': arrivals},
                ),
                status(
                    'seats',
                    limit=13,
                    costs=[RouteCost('seat', {}, 0.03, 9.0)],
                ),
            )
        )
        self.learnt.decay()


SEAT_CALLS = 13 / 0.03  # calls a second that the seats can run


def test_shortage_that_a_fleet_starts_into_ends() -> None:
    """Lookups that fail early must not raise the admitted rate."""
    shortage = Shortage()
    shortage.play(arrivals=108, seconds=4)
    assert shortage.play(arrivals=108, seconds=4) > 0.9


def test_costs_from_before_bound_the_first_plans() -> None:
    """All nodes restart while demand is twice the capacity."""
    shortage = Shortage()
    shortage.admission.call_graph.add_missing_costs([
        RouteCost('lookup', {'seat': 8.0}, 0.2, 100.0),
        RouteCost('seat', {}, 0.03, 100.0),
    ])
    shortage.plan_for(108)
    assert shortage.play(arrivals=108, seconds=2) > 0.9


def test_service_without_targets_stops_what_needs_it() -> None:
    """Its calls would fail after their callers have done their work."""
    overload = Overload()
    overload.plan()
    rate = overload.admission.admitted_rates['lookup'].rate
    overload.plan(is_open=False)
    assert overload.admission.admitted_rates['lookup'].rate < 0.1 * rate


def test_rate_holds_when_the_demand_jumps() -> None:
    """Admitting a fixed share of arrivals would admit four times more."""
    shortage = Shortage()
    shortage.play(arrivals=52, seconds=4)
    before = shortage.admission.admitted_rates['lookup'].rate
    for _ in range(400):
        shortage.clock.now += 1 / 400
        shortage.admission.admitted_rates['lookup'].take_token(
            shortage.clock.now
        )
    assert shortage.play(arrivals=400, seconds=2) > 0.85
    assert shortage.admission.admitted_rates['lookup'].rate < before * 1.3


def test_service_without_shortage_is_not_cut() -> None:
    """Routes are admitted in full while the service has capacity."""
    shares = Overload().plan(limit=100)
    assert shares == {'lookup': 1.0, 'search': 1.0}


def shared_rate(
    nodes: int,
    policy: OrganisationPolicy,
    *,
    seconds: float,
    asks: int,
) -> int:
    """Return how many requests a fleet admits in some seconds."""
    names = [f'n-{number}' for number in range(nodes)]
    shares = [RateShares(name) for name in names]
    for share in shares:
        share.set_nodes(names)
        share.refill_own_shares([policy], 0.0)
    asking = shares * asks
    return sum(
        passes(share, shares, policy, step / 100)
        for step in range(1, int(seconds * 100) + 1)
        for share in asking
    )


def passes(
    share: RateShares,
    shares: list[RateShares],
    policy: OrganisationPolicy,
    now: float,
) -> bool:
    """Take a token, or fetch tokens from another node for later use."""
    if share.take_token(policy, now):
        return True
    for other in shares:
        granted = other.grant_tokens(policy, 3, now)
        share.add_granted_tokens(policy.terms.name, granted, now)
        if granted:
            break
    return False


@pytest.mark.parametrize('nodes', [1, 5, 16, 86])
def test_rate_holds_over_all_nodes(nodes: int) -> None:
    """Passing tokens between nodes keeps to the total rate and burst."""
    policy = organisation(rate=20, burst=30)
    passed = shared_rate(nodes, policy, seconds=5, asks=2)
    assert passed <= (20 * 5 + 30) * 1.1 + 20
    assert passed >= 20 * 5 * 0.8


@pytest.mark.parametrize('rate', [0.5, 1, 3])
def test_smallest_rates_let_requests_pass(rate: float) -> None:
    """If each node held less than one token, all would be refused."""
    policy = organisation(rate=rate, burst=rate)
    names = [f'n-{number}' for number in range(86)]
    shares = [RateShares(name, slack=20) for name in names]
    passed = rate_passed(shares, names, policy, seconds=20)
    assert passed >= 20 * rate * 0.8
    assert passed <= (rate * 20 + rate) * 1.1 + 20


# Guards against a fleet of one node that refuses all calls with a rate.
def test_only_node_of_a_fleet_holds_the_whole_rates() -> None:
    """From its first read of the table of nodes on."""
    node = Host(1, MemoryStore(), LineLog()).node
    shares = node.rates.shares
    policy = organisation(rate=10, burst=20)
    assert not shares.take_token(policy, 0.0)
    node.fleet.replace_rows(rows_of([node.fleet.own]), epoch=0, position=1)
    shares.refill_own_shares([policy], 0.0)
    passed = sum(shares.take_token(policy, step / 20) for step in range(1, 101))
    assert 10 * 5 - 1 <= passed <= 10 * 5 + 20


def test_small_rate_outlives_a_holder_that_is_cut_off() -> None:
    """Its tokens are unreachable, and no other node may take them over."""
    policy = organisation(rate=3, burst=4)
    names = [f'n-{number}' for number in range(16)]
    shares = [RateShares(name, slack=20) for name in names]
    lost = select_holders(policy, names)[0]
    near = [share for share in shares if share.node != lost]
    assert rate_passed(near, names, policy, seconds=20) >= 20 * 3 * 0.6


def rate_passed(
    shares: list[RateShares],
    names: list[str],
    policy: OrganisationPolicy,
    *,
    seconds: int,
) -> int:
    """Return how many of 20 requests a second pass at random nodes."""
    for share in shares:
        share.set_nodes(names)
        share.refill_own_shares([policy], 0.0)
    random = chance()
    moments = [step / 20 for step in range(1, seconds * 20 + 1)]
    return sum(
        random.choice(shares).take_token(policy, now)
        or any(share.grant_tokens(policy, 1, now) for share in shares)
        for now in moments
    )


def test_fresh_node_has_no_tokens() -> None:
    """The previous process may have used the tokens."""
    share = RateShares('n-1')
    share.set_nodes(['n-1'])
    assert not share.take_token(organisation(), 100.0)


def test_node_without_the_list_of_nodes_holds_no_part() -> None:
    """Without it, the number of nodes that share the rate is unknown."""
    share = RateShares('n-1')
    share.refill_own_shares([organisation()], 0.0)
    share.refill_own_shares([organisation()], 10.0)
    assert not share.take_token(organisation(), 10.0)


def test_leaving_node_gives_its_part_up() -> None:
    """The other nodes use its part of the rate from then on."""
    share = RateShares('n-1')
    share.set_nodes(['n-1'])
    share.refill_own_shares([organisation()], 0.0)
    share.refill_own_shares([organisation()], 10.0)
    share.release_shares()
    share.set_nodes(['n-1', 'n-2'])
    assert not share.take_token(organisation(), 10.0)


def test_lower_rate_takes_effect_at_once() -> None:
    """Tokens beyond the new burst are dropped."""
    share = RateShares('n-1')
    share.set_nodes(['n-1'])
    share.refill_own_shares([organisation(rate=100, burst=100)], 0.0)
    share.refill_own_shares([organisation(rate=100, burst=100)], 10.0)
    low = organisation(rate=1, burst=5)
    assert sum(share.take_token(low, 10.0) for _ in range(50)) == 5


def test_repeats_do_not_accumulate_over_windows() -> None:
    """A long time without retries doesn't allow a retry storm."""
    clock = ManualClock()
    budget = RetryBudget(ratio=0.2, slack=0, window=10, clock=clock)
    for _ in range(300):
        clock.now += 1
        for _ in range(10):
            budget.record_request(SEATS)
    spent = sum(budget.try_spend({SEATS: 1}) for _ in range(1000))
    assert spent <= 0.2 * 10 * 10


def test_repeat_is_charged_to_all_services_below() -> None:
    """The onward calls of a retried run count as retries as well."""
    budget = RetryBudget(ratio=0.2, slack=20, window=10, clock=ManualClock())
    costs = {ServiceName('walks'): 1.0, SEATS: 8.0}
    assert budget.try_spend(costs)
    assert not budget.try_spend(costs)


def test_little_demand_takes_no_tokens_in_advance() -> None:
    """Tokens taken but not used are lost to the organisation."""
    asked: list[object] = []

    class Link:
        """A link that records the fields it sends."""

        def send(self, _kind: object, _number: int, fields: object) -> bool:
            """Record the fields."""
            asked.append(fields)
            return True

    def link_of(_name: str) -> Any:
        return Link()

    async def ask() -> None:
        shares = RateShares('n-1')
        shares.set_nodes(['n-1', 'n-2'])
        gate = RateGate(shares, link_of=link_of, chance=chance())
        gate.request_tokens(organisation(), lambda: None)
        for found in gate.pending_requests.values():
            assert found.timer is not None
            found.timer.cancel()

    asyncio.run(ask())
    assert asked == [['acacia', 1]]
