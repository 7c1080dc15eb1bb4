"""Joining, leaving, crash, pause and isolation of nodes."""

import pytest
import trio
from builders import RunningFleet, running_fleet

from boragetrestle_kernel.ids import NodeId, ServiceName
from boragetrestle_kernel.member_record import Liveness, member_key
from boragetrestle_kernel.target_record import TargetState
from boragetrestle_kernel.timeline import EventKind
from boragetrestle_node import row_sweep
from boragetrestle_node.fleet_messages import Rumours
from boragetrestle_standin.fleet import FleetHost
from boragetrestle_standin.host_plan import HostPlan

_PLANS = [HostPlan('walks', domain=domain) for domain in 'aaabbbccc']
_WALKS = ServiceName('walks')
_NOTICE_SECONDS = 6
_BURY_SECONDS = 14
_HOUR = 3600


def _node(host: FleetHost) -> NodeId:
    return NodeId(host.node.settings.node)


def _ready(host: FleetHost) -> set[NodeId]:
    return {record.node for record in host.node.directory.ready(_WALKS)}


def _liveness(host: FleetHost, of: FleetHost) -> Liveness:
    return host.node.control.members.records[_node(of)].liveness


def _freeze(run: RunningFleet, host: FleetHost) -> None:
    run.network.faults.freeze(host.ip)
    run.host_stores[host.ip].is_down = True


def _thaw(run: RunningFleet, host: FleetHost) -> None:
    run.host_stores[host.ip].is_down = False
    run.network.faults.thaw(host.ip)


async def test_crashed_host_gets_no_calls_and_returns(autojump_clock):
    async with running_fleet(_PLANS) as run:
        crashed, *others = run.fleet.hosts
        crashed.crash()
        await trio.sleep(_NOTICE_SECONDS)
        assert all(_node(crashed) not in _ready(host) for host in others)
        await trio.sleep(_BURY_SECONDS)
        dead = [_liveness(host, crashed) for host in others]
        assert dead == [Liveness.DEAD for _ in others]
        fresh = await run.fleet.restart(crashed, run.nursery)
        await trio.sleep(2)
        assert all(_node(fresh) in _ready(host) for host in others)


async def test_paused_host_refutes_when_it_wakes(autojump_clock):
    async with running_fleet(_PLANS) as run:
        paused, *others = run.fleet.hosts
        before = paused.node.membership.record.incarnation
        _freeze(run, paused)
        await trio.sleep(_BURY_SECONDS)
        assert all(_node(paused) not in _ready(host) for host in others)
        _thaw(run, paused)
        await trio.sleep(8)
        assert all(_node(paused) in _ready(host) for host in others)
    assert paused.node.membership.record.incarnation > before


async def test_isolated_host_accuses_nobody(autojump_clock):
    async with running_fleet(_PLANS) as run:
        isolated, *others = run.fleet.hosts
        _freeze(run, isolated)
        await trio.sleep(60)
        kept = [_liveness(isolated, other) for other in others]
        assert kept == [Liveness.ALIVE for _ in others]
        assert len(_ready(isolated)) == len(run.fleet.hosts)


async def test_cut_domain_keeps_its_list_and_returns(autojump_clock):
    async with running_fleet(_PLANS) as run:
        hosts = run.fleet.hosts
        inside, outside = hosts[:3], hosts[3:]
        run.network.faults.partition(
            [host.ip for host in inside],
            [host.ip for host in outside],
        )
        for host in inside:
            run.host_stores[host.ip].is_down = True
        await trio.sleep(120)
        assert all(len(_ready(host)) == len(hosts) for host in inside)
        assert all(len(_ready(host)) == len(outside) for host in outside)
        run.network.faults.heal()
        for host in inside:
            run.host_stores[host.ip].is_down = False
        await trio.sleep(10)
        assert all(len(_ready(host)) == len(hosts) for host in hosts)


async def test_service_keeps_targets_that_nobody_reaches(autojump_clock):
    plans = [*_PLANS, HostPlan('gate', domain='a'), HostPlan('gate')]
    async with running_fleet(plans) as run:
        for host in run.fleet.of_service('gate'):
            host.crash()
        await trio.sleep(_NOTICE_SECONDS + _BURY_SECONDS)
        observer = run.fleet.hosts[4].node
        assert len(observer.directory.ready(ServiceName('gate'))) == 2


async def test_store_outage_of_an_hour_empties_no_list(autojump_clock):
    async with running_fleet(_PLANS[:2]) as run:
        run.store.is_down = True
        await trio.sleep(_HOUR)
        assert [len(_ready(host)) for host in run.fleet.hosts] == [2, 2]
        answer = await run.fleet.call(
            run.fleet.hosts[0],
            '/walks/items/1',
            key=run.key,
        )
        assert answer.status == 200


async def test_draining_and_leaving_are_known_within_two_seconds(
    autojump_clock,
):
    plans = [HostPlan('walks', domain='abcde'[at % 5]) for at in range(20)]
    async with running_fleet(plans) as run:
        run.network.faults.delay_of = lambda _source, _destination: 0.03
        leaving, *others = run.fleet.hosts
        await leaving.node.membership.drain()
        await trio.sleep(2)
        assert all(_node(leaving) not in _ready(host) for host in others)
        await leaving.node.membership.leave()
        await trio.sleep(2)
        assert member_key(_node(leaving)) not in run.table.rows
        assert all(_liveness(host, leaving) is Liveness.LEFT for host in others)


async def test_node_joins_through_peers_without_the_store(autojump_clock):
    async with running_fleet(_PLANS) as run:
        known = str(run.fleet.hosts[2].addresses.peers)
        run.store.is_down = True
        plan = HostPlan('walks', domain='b', peers=(known,))
        joined = await run.fleet.add(plan, run.nursery)
        await trio.sleep(4)
        version = run.fleet.hosts[0].node.state.version
        assert joined.node.state.version == version
        assert all(len(_ready(host)) == 10 for host in run.fleet.hosts)


async def test_lost_rumours_are_mended(autojump_clock):
    async with running_fleet(_PLANS) as run:
        run.store.is_down = True
        drained, *others = run.fleet.hosts
        deaf = others[3].node.links
        handler = deaf.handlers[Rumours]

        async def drop(_sender: NodeId, _rumours: Rumours) -> None:
            await trio.lowlevel.checkpoint()

        deaf.on(Rumours, drop)
        await drained.node.membership.drain()
        await trio.sleep(1)
        deaf.on(Rumours, handler)
        await trio.sleep(6)
        assert all(_node(drained) not in _ready(host) for host in others)


async def test_parts_that_started_apart_find_each_other(autojump_clock):
    async with running_fleet(_PLANS[:2]) as run:
        run.store.is_down = True
        third = await run.fleet.add(HostPlan('walks', domain='b'), run.nursery)
        known = str(third.addresses.peers)
        plan = HostPlan('walks', domain='b', peers=(known,))
        await run.fleet.add(plan, run.nursery)
        await trio.sleep(5)
        assert [len(_ready(host)) for host in run.fleet.hosts] == [2, 2, 2, 2]
        run.store.is_down = False
        await trio.sleep(40)
        assert [len(_ready(host)) for host in run.fleet.hosts] == [4, 4, 4, 4]


async def test_row_of_a_dead_host_is_removed_at_last(
    autojump_clock,
    monkeypatch,
):
    monkeypatch.setattr(row_sweep, 'DEAD_ROW_SECONDS', 60)
    async with running_fleet(_PLANS[:4]) as run:
        crashed = run.fleet.hosts[0]
        crashed.crash()
        await trio.sleep(30)
        assert member_key(_node(crashed)) in run.table.rows
        await trio.sleep(90)
        assert member_key(_node(crashed)) not in run.table.rows
        assert len(run.table.rows) >= 3


async def test_decisions_are_on_the_timeline(autojump_clock):
    async with running_fleet(_PLANS[:4]) as run:
        run.fleet.hosts[3].crash()
        await trio.sleep(_NOTICE_SECONDS + _BURY_SECONDS)
        events = run.fleet.hosts[0].node.timeline.other_events
    seen = {(event.kind, event.subject) for event in events}
    assert (EventKind.TARGET_JOINED, 'node-4') in seen
    assert (EventKind.TARGET_SUSPECTED, 'node-4') in seen
    assert (EventKind.TARGET_LEFT, 'node-4') in seen


@pytest.mark.parametrize('state', ['draining', 'gone'])
async def test_target_may_announce_its_own_end(autojump_clock, state):
    async with running_fleet(_PLANS[:3]) as run:
        ending, other, _ = run.fleet.hosts
        await ending.target.announce(state)
        await trio.sleep(1)
        assert _node(ending) not in _ready(other)
        states = {
            record.state
            for record in other.node.directory.records.values()
            if record.node == _node(ending)
        }
    assert states <= {TargetState.DRAINING}
