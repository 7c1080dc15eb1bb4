"""Changes of the configuration: races, lost answers, gaps and snapshots."""

import msgspec
import pytest
import trio
from builders import organisation, running_fleet, service, service_text
from hypothesis import given
from hypothesis import strategies as st

from boragetrestle.operator import Operator
from boragetrestle_kernel.change import Change, KeyGiven, TextEdited
from boragetrestle_kernel.clock import VirtualWallClock
from boragetrestle_kernel.errors import ConflictError
from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.hybrid_clock import HybridClock
from boragetrestle_kernel.ids import Digest, KeyId, NodeId, OrgId, Version
from boragetrestle_kernel.memory_network import MemoryNetwork
from boragetrestle_kernel.text_edit import apply_edit, edit_between
from boragetrestle_kernel.timeline import Timeline
from boragetrestle_node.config_spread import ConfigSpread
from boragetrestle_node.fleet_messages import ChangesReply
from boragetrestle_node.peer_links import PeerLinks
from boragetrestle_node.peer_proof import PeerProver
from boragetrestle_platform import snapshots
from boragetrestle_platform.memory_objects import MemoryObjects
from boragetrestle_platform.memory_table import MemoryTable
from boragetrestle_platform.platform import Platform
from boragetrestle_standin.host_plan import HostPlan

_PLANS = [HostPlan('walks', domain=domain) for domain in 'aabbcc']
_CHANGES = 8


def _change(version: int) -> Change:
    key = KeyGiven(
        KeyId(f'k{version}'),
        Digest(f'd{version}'),
        OrgId('acacia'),
    )
    return Change(Version(version), key)


def _state_at(version: int) -> FleetState:
    state = FleetState()
    for number in range(1, version + 1):
        state.apply(_change(number))
    return state


def _spread() -> ConfigSpread:
    clock = VirtualWallClock(epoch=1)
    clock.wall = lambda: 1.0  # type: ignore[method-assign]
    timeline = Timeline(HybridClock(clock), node='node-1')
    links = PeerLinks(
        NodeId('node-1'),
        network=MemoryNetwork(),
        prover=PeerProver([b'secret']),
        clock=clock,
        timeline=timeline,
    )
    return ConfigSpread(FleetState(), links, timeline)


_ROWS = st.lists(st.integers(1, _CHANGES), max_size=4)
_REPLIES = st.lists(st.tuples(st.integers(0, _CHANGES), _ROWS), max_size=12)


@given(_REPLIES)
def test_late_repeated_and_reordered_replies_never_revert(replies):
    spread = _spread()
    last = 0
    for snapshot_version, rows in replies:
        snapshot = _state_at(snapshot_version).snapshot()
        reply = ChangesReply(
            rows=tuple(msgspec.json.encode(_change(row)) for row in rows),
            snapshot=msgspec.json.encode(snapshot) if snapshot_version else b'',
        )
        spread.take_reply(reply)
        version = spread.state.version
        assert version >= last
        assert spread.state.keys == _state_at(version).keys
        last = version


async def test_racing_operators_have_one_winner(autojump_clock):
    async with running_fleet(_PLANS[:1]) as run:
        names = ('ana', 'ben', 'eva')
        operators = [
            Operator(run.operator.platform, name=name) for name in names
        ]
        won: list[str] = []
        lost: dict[str, ConflictError] = {}
        head = (await run.operator.state()).version

        async def change(operator: Operator) -> None:
            key = _change(head + 1).change
            try:
                await operator.append(key, head)
            except ConflictError as error:
                lost[operator.name] = error
            else:
                won.append(operator.name)

        async with trio.open_nursery() as nursery:
            for operator in operators:
                nursery.start_soon(change, operator)
    assert len(won) == 1
    assert len(lost) == 2
    for error in lost.values():
        assert f'by {won[0]}: key-given' in error.message
        assert 'apply again' in error.remedy


async def test_lost_answer_is_settled_by_reading_back(autojump_clock):
    async with running_fleet(_PLANS[:2]) as run:
        before = (await run.operator.state()).version
        run.store.lost_answers = 1
        given_key = await run.operator.give_key('acacia')
        await trio.sleep(4)
        assert (await run.operator.state()).version == before + 1
        for host in run.fleet.hosts:
            answer = await run.fleet.call(
                host,
                '/walks/items/1',
                key=given_key.key,
            )
            assert answer.status == 200


async def test_node_far_behind_gets_a_snapshot(autojump_clock):
    async with running_fleet(_PLANS) as run:
        behind = run.fleet.hosts[0]
        run.network.faults.freeze(behind.ip)
        run.host_stores[behind.ip].is_down = True
        for _ in range(150):
            await run.operator.give_key('acacia')
            await trio.sleep(0.05)
        version = (await run.operator.state()).version
        run.network.faults.thaw(behind.ip)
        await trio.sleep(4)
        assert behind.node.state.version == version
        assert behind.node.state.snapshot() == (
            run.fleet.hosts[1].node.state.snapshot()
        )


async def test_old_changes_give_way_to_snapshots(autojump_clock, monkeypatch):
    monkeypatch.setattr(snapshots, 'KEPT_CHANGES', 16)
    async with running_fleet(_PLANS[:2]) as run:
        for _ in range(3):
            for _ in range(70):
                await run.operator.give_key('acacia')
            await trio.sleep(15)
        rows = [key for key in run.table.rows if key.startswith('change/')]
        assert len(rows) < 100
        assert len(run.objects.objects) <= 2
        started = await run.fleet.add(HostPlan('walks'), run.nursery)
        state = await run.operator.state()
        assert started.node.state.version == state.version
        assert started.node.state.keys == state.keys


async def test_change_is_in_force_within_four_seconds_on_slow_links(
    autojump_clock,
):
    plans = [HostPlan('walks', domain='abcde'[at % 5]) for at in range(20)]
    async with running_fleet(plans) as run:
        run.network.faults.delay_of = lambda _source, _destination: 0.1
        run.store.delay = 0.5
        version = await run.operator.withdraw_key(run.key_id)
        await trio.sleep(4)
        reached = [host.node.state.version for host in run.fleet.hosts]
    assert reached == [version for _ in plans]


async def test_new_version_is_pushed_from_node_to_node(autojump_clock):
    async with running_fleet([HostPlan('walks') for _ in range(40)]) as run:
        run.network.faults.delay_of = lambda _source, _destination: 0.02
        states = [host.node.state for host in run.fleet.hosts]
        for _ in range(3):
            await run.operator.give_key('acacia')
            version = (await run.operator.state()).version
            while all(state.version < version for state in states):
                await trio.sleep(0.01)
            await trio.sleep(0.4)
            assert all(state.version == version for state in states)


@pytest.mark.parametrize(
    'names',
    [('walks', 'gate'), ('gate', 'walks', 'media'), ('media',), ()],
)
def test_edit_gives_exactly_the_new_text(names):
    old = service_text(service('walks'), service('gate', 'walks'))
    new = service_text(
        *(service(name) for name in names),
        organisations=[organisation(rate=5)],
    )
    edit = edit_between(old, new)
    if edit is not None:
        assert apply_edit(old, edit) == new


async def test_change_to_one_service_travels_as_an_edit(autojump_clock):
    services = [service(f'service-{number}') for number in range(50)]
    async with running_fleet(
        _PLANS[:2],
        text=service_text(*services),
    ) as run:
        services[7] = service('service-7', 'service-8')
        version = await run.operator.apply(service_text(*services))
        await trio.sleep(4)
        changes = await run.operator.change_log.read_after(Version(version - 1))
        depends_on = [
            host.node.state.services['service-7'].depends_on
            for host in run.fleet.hosts
        ]
    assert isinstance(changes[0].change, TextEdited)
    assert len(changes[0].change.services) == 1
    assert all(names[0].service == 'service-8' for names in depends_on)


async def test_head_and_next_changes_come_in_one_read(autojump_clock):
    table = MemoryTable()
    operator = Operator(Platform(table, MemoryObjects()))
    for _ in range(3):
        head = (await operator.change_log.head()).version
        await operator.append(_change(head + 1).change, head)
    reads = table.reads
    poll = await operator.change_log.poll(Version(1))
    assert [change.version for change in poll.changes] == [2, 3]
    assert poll.head.version == 3
    assert table.reads == reads + 1
