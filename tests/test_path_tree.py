"""How loads, rows, configurations and crashes spread over large fleets."""

import random
from collections import Counter

import pytest
from path_builders import ManualClock
from tree_builders import DOMAINS, ModelFleet, ModelNode, members, rows_of

from boragetrestle_sidecar.domain_tree import (
    TREE_FANOUT,
    DomainTree,
    node_rank,
)
from boragetrestle_sidecar.fleet_load import FleetLoad
from boragetrestle_sidecar.guard_subset import (
    OTHER_DOMAIN_GUARDS,
    OWN_DOMAIN_GUARDS,
    choose_subset,
    rank_guards,
)
from boragetrestle_sidecar.load_aggregation import LoadAggregation
from boragetrestle_sidecar.member_table import MemberRow, MemberTable
from boragetrestle_sidecar.peer_frames import FrameKind

CONTROL_BYTES_PER_SECOND = 10_000  # what one node may spend
SIZES = [16, 194, 2200]


@pytest.mark.parametrize('count', SIZES)
def test_each_node_has_few_children(count: int) -> None:
    """The cost of a node must not grow with the fleet."""
    known = members(count)
    first = [DomainTree(each.address, known).parents[:1] for each in known]
    children = Counter(parent for parents in first for parent in parents)
    assert max(children.values()) <= TREE_FANOUT + DOMAINS - 1
    assert first.count([]) == 1


@pytest.mark.parametrize('count', SIZES)
def test_only_the_first_nodes_have_parents_in_other_domains(count: int) -> None:
    """Bytes between domains cost money."""
    known = members(count)
    domains = {each.address: each.domain for each in known}
    crossing = [
        each
        for each in known
        for parent in DomainTree(each.address, known).parents[:1]
        if domains[parent] != each.domain
    ]
    assert len(crossing) == DOMAINS - 1


def test_nodes_that_know_different_members_form_no_cycle() -> None:
    """A cycle would add the same loads up without end."""
    chance = random.Random(3)
    known = members(300)
    for each in known:
        part = chance.sample(known, 100)
        parents = DomainTree(each.address, [*part, each]).parents
        assert all(
            node_rank(parent) < node_rank(each.address) for parent in parents
        )


@pytest.mark.parametrize('count', [30, 194, 600])
def test_total_covers_the_whole_fleet(count: int) -> None:
    """All entries plan admission from the same total."""
    fleet = ModelFleet(count)
    fleet.read_table()
    fleet.play(4)
    for node in fleet.running:
        total = node.aggregation.total
        assert total.nodes == count
        assert total.arrivals['browse'] == pytest.approx(count)
        slots = sum(load.slots for load in total.services.values())
        assert slots == pytest.approx(7 * count)


def test_total_follows_the_arrivals_within_seconds() -> None:
    """Admission answers a crowd that comes at once."""
    fleet = ModelFleet(194)
    fleet.read_table()
    fleet.play(4)
    fleet.play(2, arrivals=5.0)
    for node in fleet.running:
        assert node.aggregation.total.arrivals['browse'] > 0.8 * 5 * 194


@pytest.mark.parametrize('share', [0.3, 0.7])
def test_total_is_whole_again_after_nodes_are_lost(share: float) -> None:
    """Any number of nodes, those near the root too, may be lost at once."""
    fleet = ModelFleet(194)
    fleet.read_table()
    fleet.play(4)
    ranked = sorted(fleet.nodes, key=node_rank)
    for address in ranked[: int(share * 194)]:
        fleet.nodes[address].is_up = False
    fleet.play(4)
    left = len(fleet.running)
    assert {node.aggregation.total.nodes for node in fleet.running} == {left}


def test_domain_that_is_cut_off_has_a_total_of_its_own() -> None:
    """Its entries plan for the targets that they reach, and later for all."""
    fleet = ModelFleet(100)
    fleet.read_table()
    fleet.play(4)
    fleet.cut = {
        node.own.address
        for node in fleet.running
        if node.own.domain == 'zone-0'
    }
    fleet.play(4)
    seen = {
        (node.own.address in fleet.cut, node.aggregation.total.nodes)
        for node in fleet.running
    }
    assert seen == {(True, 20), (False, 80)}
    fleet.cut = set()
    fleet.play(4)
    assert {node.aggregation.total.nodes for node in fleet.running} == {100}


@pytest.mark.parametrize('count', [194, 600])
def test_control_traffic_is_bounded_and_stays_in_the_domain(
    count: int,
) -> None:
    """At most 10 KB a second a node, and a small part between domains."""
    fleet = ModelFleet(count)
    fleet.read_table()
    fleet.play(4)
    fleet.bytes_sent.clear()
    fleet.bytes_between_domains = 0
    fleet.play(10)
    assert max(fleet.bytes_sent.values()) / 10 < CONTROL_BYTES_PER_SECOND
    total = sum(fleet.bytes_sent.values())
    assert fleet.bytes_between_domains < total / 20


def test_configuration_is_at_all_nodes_as_soon_as_one_has_it() -> None:
    """Only a few nodes read it from the store."""
    fleet = ModelFleet(194)
    fleet.read_table()
    fleet.play(4)
    reader = fleet.running[77]
    reader.keeper.apply_if_newer(b'5', source='store')
    assert {node.keeper.version for node in fleet.running} == {5}


def test_configuration_reaches_a_node_that_has_just_started() -> None:
    """The node has read nothing but the list of nodes."""
    fleet = ModelFleet(60)
    fleet.read_table()
    fleet.running[0].keeper.apply_if_newer(b'5', source='store')
    fleet.play(4)
    restarted = fleet.running[33]
    fresh = ModelNode(fleet, restarted.own)
    fleet.nodes[fresh.own.address] = fresh
    fresh.fleet.replace_rows(
        rows_of(node.own for node in fleet.running), epoch=0, position=1
    )
    fleet.play(2)
    assert fresh.keeper.version == 5


def test_configuration_from_a_peer_is_confirmed_by_it() -> None:
    """A node that has just started need not wait for a report as well."""
    fleet = ModelFleet(2)
    peer, fresh = fleet.running
    fresh.receive(peer, FrameKind.CONFIGURATION, 0, [b'5'])
    assert fresh.heard_versions == [5]


def test_row_of_a_new_node_is_passed_on_to_all() -> None:
    """One node that follows the store is enough."""
    fleet = ModelFleet(194)
    fleet.read_table()
    fleet.play(4)
    new = members(195)[-1]
    row = MemberRow(new.address, 0, 9, new.encode())
    fleet.running[5].tree.merge_rows([row])
    assert all(new.address in node.fleet.members for node in fleet.running)


def test_node_that_missed_rows_gets_them_from_its_neighbours() -> None:
    """A message along the tree is lost with the link that carries it."""
    fleet = ModelFleet(60)
    fleet.read_table()
    fleet.play(4)
    late = fleet.running[20]
    late.is_up = False
    fleet.play(3)
    new = members(61)[-1]
    row = MemberRow(new.address, 0, 9, new.encode())
    fleet.running[5].tree.merge_rows([row])
    late.is_up = True
    fleet.play(4)
    assert new.address in late.fleet.members


def test_crash_is_told_to_all_nodes_once() -> None:
    """A request that crashes targets is sent to any node next."""
    fleet = ModelFleet(194)
    fleet.read_table()
    fleet.play(4)
    source = fleet.running[40]
    source.tree.report_crash('suspect', True)
    told = [node.crashes for node in fleet.running if node is not source]
    assert all(crashes == ['suspect'] for crashes in told)


# Guards against requests that crash targets again at each node that restarts.
@pytest.mark.parametrize('place', [0, 1, 40])
def test_restarted_node_learns_of_crashes(place: int) -> None:
    """From its neighbours, each once; the others do not count them again."""
    fleet = ModelFleet(60)
    fleet.read_table()
    fleet.play(4)
    crashes = ['suspect'] * 3
    for _ in crashes:
        fleet.running[7].tree.report_crash('suspect', True)
    new = fleet.restart(fleet.running[place].own.address)
    assert not new.crashes
    fleet.play(2)
    told = [node.crashes for node in fleet.running if node.crashes]
    assert new.crashes == crashes
    assert all(each == crashes for each in told)


def test_restarted_node_does_not_learn_of_requests_that_were_answered() -> None:
    """A request that a target answers crashes none."""
    fleet = ModelFleet(60)
    fleet.read_table()
    fleet.play(4)
    for has_crashed in (True, True, True, False, True):
        fleet.running[7].tree.report_crash('suspect', has_crashed)
    new = fleet.restart(fleet.running[1].own.address)
    fleet.play(2)
    assert new.crashes == ['suspect']


def test_few_nodes_of_each_domain_follow_the_store() -> None:
    """Calls to the store cost money; two a domain outlive the loss of one."""
    known = members(194)
    followers = [
        each.domain
        for each in known
        if DomainTree(each.address, known).is_follower
    ]
    assert set(Counter(followers).values()) == {2}
    assert len(set(followers)) == DOMAINS


def test_node_without_a_parent_reads_the_store_itself() -> None:
    """Its neighbours may be cut off while it reaches the store."""
    fleet = ModelFleet(60)
    fleet.read_table()
    fleet.play(4)
    alone = next(
        node for node in fleet.running if not node.following.needs_changes()
    )
    fleet.cut = {alone.own.address}
    fleet.play(3)
    assert alone.following.needs_changes()


def test_parent_that_goes_silent_is_replaced_before_changes_are_due() -> None:
    """A cut sends no reset, and its children must not miss a change.

    From the last total on, another parent is asked and the store is read
    within two seconds.
    """
    fleet = ModelFleet(60)
    fleet.read_table()
    fleet.play(4)
    silent = next(node for node in fleet.running if len(node.tree.children) > 3)
    children = [fleet.nodes[address] for address in silent.tree.children]
    fleet.silent = {silent.own.address}
    fleet.play(2)
    assert all(child.following.needs_changes() for child in children)
    fleet.play(3)
    left = {
        node.aggregation.total.nodes
        for node in fleet.running
        if node is not silent
    }
    assert left == {59}


def test_random_nodes_read_a_store_that_followers_do_not_reach() -> None:
    """The store may turn some hosts away and serve the others."""
    fleet = ModelFleet(60)
    fleet.read_table()
    fleet.play(60)
    node = next(node for node in fleet.running if not node.links.is_follower)
    volunteered = 0
    for _ in range(10_000):
        volunteered += node.following.needs_changes()
        node.following.volunteers_until = 0.0
    assert 10 < volunteered < 1000
    node.following.record_age(0.0)
    assert not node.following.needs_changes()


def test_subset_prefers_the_own_domain_and_has_some_of_others() -> None:
    """The own domain may be full or gone."""
    known = members(194)
    ranking = rank_guards(known[0].address, 'zone-0', known)
    chosen = choose_subset(ranking, lambda _address: True)
    domains = {each.address: each.domain for each in known}
    own = [each for each in chosen if domains[each] == 'zone-0']
    assert len(own) == OWN_DOMAIN_GUARDS
    assert len(chosen) == OWN_DOMAIN_GUARDS + OTHER_DOMAIN_GUARDS


def test_guards_that_fail_are_replaced_in_the_subset() -> None:
    """Half of the guards may be unreachable."""
    known = members(194)
    ranking = rank_guards(known[0].address, 'zone-0', known)
    lost = {each.address for each in known[::2]}
    chosen = choose_subset(ranking, lambda address: address not in lost)
    usable = [address for address in chosen if address not in lost]
    assert len(usable) == OWN_DOMAIN_GUARDS + OTHER_DOMAIN_GUARDS


@pytest.mark.parametrize('count', [194, 2200])
def test_guards_are_in_about_as_many_subsets(count: int) -> None:
    """Each guard has as many connections, whatever the size of the fleet."""
    known = members(count)
    service = [each for each in known if each.service == 'service-1']
    used = Counter(
        address
        for each in known
        for address in choose_subset(
            rank_guards(each.address, each.domain, service),
            lambda _address: True,
        )
    )
    mean = count * (OWN_DOMAIN_GUARDS + OTHER_DOMAIN_GUARDS) / len(service)
    assert len(used) == len(service)
    assert max(used.values()) < 2 * mean
    assert min(used.values()) > mean / 2


def test_subset_of_others_stays_when_a_node_joins() -> None:
    """Each exchanged guard costs a connection."""
    known = members(200)
    before = choose_subset(
        rank_guards('entry:1', 'zone-0', known[:-1]), lambda _address: True
    )
    after = choose_subset(
        rank_guards('entry:1', 'zone-0', known), lambda _address: True
    )
    assert len(set(before) - set(after)) <= 1


def test_plan_waits_until_most_nodes_are_in_the_total() -> None:
    """A part of the fleet seems to lack whole services."""
    clock = ManualClock()
    aggregation = LoadAggregation(clock=clock)
    aggregation.record_total(FleetLoad(nodes=20))
    assert aggregation.total_to_plan(194) is None
    aggregation.record_total(FleetLoad(nodes=180))
    assert aggregation.total_to_plan(194) is not None


def test_lost_nodes_do_not_stop_plans_for_good() -> None:
    """Their rows stay in the store."""
    clock = ManualClock()
    aggregation = LoadAggregation(clock=clock)
    clock.now += 4
    aggregation.record_total(FleetLoad(nodes=20))
    assert aggregation.total_to_plan(194) is not None
    clock.now += 60
    assert aggregation.total_to_plan(194) is None


def test_rows_are_merged_in_any_order() -> None:
    """Several nodes pass on what they read at different times."""
    first, second = members(2)
    rows = [
        MemberRow(first.address, 0, 3, first.encode()),
        MemberRow(first.address, 0, 5, None),
        MemberRow(second.address, 0, 4, second.encode()),
        MemberRow(second.address, 0, 2, None),
    ]
    chance = random.Random(5)
    digests = set()
    for _ in range(20):
        chance.shuffle(rows)
        table = MemberTable()
        for row in rows:
            table.merge([row])
        assert set(table.members) == {second.address}
        digests.add(table.digest)
    assert len(digests) == 1


def test_row_with_garbage_harms_no_other() -> None:
    """Rows may come from another writer."""
    own = members(1)[0]
    table = MemberTable()
    table.merge([
        MemberRow('not an address', 0, 1, own.encode()),
        MemberRow('h:1', 0, 1, b'\xff{'),
        MemberRow('h:2', 0, 1, b'[1, 2]'),
        MemberRow('h:3', 0, 1, b'{"domain": 3}'),
        MemberRow('', 0, 1, own.encode()),
        MemberRow(own.address, 0, 1, own.encode()),
    ])
    assert set(table.members) == {own.address}
    assert set(table.refused) == {'not an address', 'h:1', 'h:2', 'h:3'}
