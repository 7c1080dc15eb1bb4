"""Failure domains that operators empty and take back."""

import pytest
from entry_builders import EntryHarness, node_load, request_bytes
from path_builders import GuardHarness, LineLog, configuration, run_order
from path_standins import Host, MemoryStore
from test_path_nodes import call, run_with_hosts, wait_until
from tree_builders import ModelFleet, ModelNode

from boragetrestle_kernel.ids import DomainName, ServiceName
from boragetrestle_sidecar.evacuations import Evacuations, EvacuationState
from boragetrestle_sidecar.outcome import OutcomeKind, Reason

FIRST = EvacuationState(1, True, 5, ('a',))
TAKEN_BACK = EvacuationState(1, True, 6)
NEXT_EPOCH_PARTIAL = EvacuationState(2, False, 3, ('a',))


def evacuate(bench: GuardHarness, state: EvacuationState) -> None:
    """Tell a guard of the domain a which domains are evacuated."""
    bench.guard.evacuations.apply_if_newer(state, source='test')
    bench.guard.apply_evacuations()


def test_evacuated_target_gets_nothing_more_and_running_runs_end() -> None:
    """What waits goes elsewhere as not sent."""
    bench = GuardHarness(slots=1)
    running = bench.submit(run_order('r-1'))
    bench.submit(run_order('r-2'))
    evacuate(bench, FIRST)
    sent = bench.sent()
    bench.submit(run_order('r-3'))
    assert not bench.guard.is_open
    for name in ('r-2', 'r-3'):
        assert bench.outcomes[name].kind is OutcomeKind.NOT_SENT
        assert bench.outcomes[name].reason is Reason.EVACUATED
    bench.answer(running)
    assert bench.outcomes['r-1'].kind is OutcomeKind.ANSWERED
    assert bench.sent() == sent


def test_guard_that_is_taken_back_opens_and_counts_as_cold() -> None:
    """Its target may have become cold meanwhile, before it says so."""
    bench = GuardHarness(slots=20)
    bench.guard.configure(configuration(cold_rates={ServiceName('walks'): 6.0}))
    evacuate(bench, FIRST)
    evacuate(bench, TAKEN_BACK)
    assert bench.guard.is_open
    assert bench.guard.terms.pace_limit == 6


@pytest.mark.parametrize(
    ('late', 'domains'),
    [
        (EvacuationState(1, True, 4), {'a'}),
        (EvacuationState(0, True, 9), {'a'}),
        (EvacuationState(1, False, 9), {'a'}),
        (TAKEN_BACK, set()),
        (NEXT_EPOCH_PARTIAL, {'a'}),
        (EvacuationState(2, True, 1), set()),
    ],
)
def test_older_snapshot_never_replaces_a_newer_one(
    late: EvacuationState,
    domains: set[str],
) -> None:
    """Versions are given out again after a return from an older copy."""
    evacuations = Evacuations(LineLog())
    evacuations.apply_if_newer(FIRST, source='store')
    evacuations.apply_if_newer(late, source='peer')
    assert evacuations.domains == domains


def test_request_for_an_unknown_domain_is_logged_and_ignored() -> None:
    """A misspelt domain changes nothing for the others."""
    log = LineLog()
    evacuations = Evacuations(log, known_domains=[DomainName('a')])
    state = EvacuationState(1, True, 5, ('a', 'nowhere'))
    evacuations.apply_if_newer(state, source='store')
    assert evacuations.domains == {'a'}
    assert 'evacuation-refused' in log.kinds()


def test_entry_sends_nothing_to_an_evacuated_domain() -> None:
    """The guard there may be cut off and not know of it."""
    bench = EntryHarness()
    bench.fleet.update_load(node_load('b')._replace(domain='b'))
    bench.fleet.evacuations.apply_if_newer(FIRST, source='store')
    connection, _transport = bench.connect()
    for number in range(20):
        connection.data_received(request_bytes(f'r-{number}'))
        bench.sent()[-1].answer()
    assert not bench.hops['a'].sent
    assert len(bench.hops['b'].sent) == 20


def test_retry_does_not_go_to_an_evacuated_domain() -> None:
    """A run that was not sent is refused rather than sent there."""
    bench = EntryHarness()
    bench.fleet.update_load(node_load('b')._replace(domain='b'))
    bench.fleet.evacuations.apply_if_newer(FIRST, source='store')
    connection, transport = bench.connect()
    connection.data_received(request_bytes())
    bench.sent()[-1].end(OutcomeKind.NOT_SENT, Reason.EVACUATED)
    assert not bench.hops['a'].sent
    assert b'503' in transport.written


def knows(node: ModelNode, *domains: str) -> bool:
    """Return whether a node knows just these domains as evacuated."""
    return node.fleet.evacuations.domains == set(domains)


@pytest.mark.parametrize('count', [16, 87, 600])
def test_all_nodes_learn_at_once_from_one_that_follows_the_store(
    count: int,
) -> None:
    """The requests pass along the tree without waiting for its reports."""
    fleet = ModelFleet(count)
    fleet.read_table()
    fleet.play(4)
    fleet.running[-1].tree.apply_evacuations(FIRST, source='store')
    assert all(knows(node, 'a') for node in fleet.running)


def test_nodes_that_were_cut_off_learn_after_their_return() -> None:
    """Reports along the tree carry what a lost message would have told."""
    fleet = ModelFleet(87)
    fleet.read_table()
    fleet.play(4)
    fleet.cut = set(list(fleet.nodes)[:30])
    fleet.play(3)
    fleet.running[-1].tree.apply_evacuations(FIRST, source='store')
    fleet.play(1)
    assert not knows(fleet.running[0], 'a')
    fleet.cut = set()
    fleet.play(5)
    assert all(knows(node, 'a') for node in fleet.running)


@pytest.mark.loopback
def test_restarted_node_obeys_although_the_store_is_away() -> None:
    """It learns from its peers, before its first run, what was asked."""

    async def test(hosts: list[Host], store: MemoryStore) -> None:
        store.put('operators', 'evacuate/b', b'{}')
        await wait_until(lambda: all(is_evacuated(host) for host in hosts))
        before = len(hosts[1].target.runs)
        store.is_away = True
        await hosts[1].restart_node()
        hosts[1].report()
        await wait_until(lambda: is_evacuated(hosts[1]))
        for host in hosts:
            for number in range(5):
                sent = request_bytes(f'{host.ip}-{number}')
                status, _body = await call(host, sent)
                assert status in {200, 503}
        assert len(hosts[1].target.runs) == before
        store.is_away = False
        store.remove('operators', 'evacuate/b')
        await wait_until(lambda: not any(is_evacuated(host) for host in hosts))

    run_with_hosts(test, domains='ab')


def is_evacuated(host: Host) -> bool:
    """Return whether a node knows that the domain b is evacuated."""
    return host.node.fleet.evacuations.domains == {'b'}
