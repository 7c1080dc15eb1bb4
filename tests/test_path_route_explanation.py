"""What a node answers about a request's route, without sending it."""

import copy
from collections.abc import Callable
from dataclasses import replace
from typing import Any

import msgspec
import pytest
from entry_builders import (
    LOAD,
    EntryHarness,
    FakeHop,
    node_load,
    request_bytes,
    status,
    total_of,
)
from path_builders import chance, organisation, route

from boragetrestle_kernel.ids import DomainName, RegionName
from boragetrestle_sidecar.caller_request import CallerRequest
from boragetrestle_sidecar.evacuations import EvacuationState
from boragetrestle_sidecar.fleet import GUARD_SILENCE_SECONDS
from boragetrestle_sidecar.member import Member
from boragetrestle_sidecar.outcome import Reason
from boragetrestle_sidecar.placement import MAX_COMPARED_GUARDS
from boragetrestle_sidecar.route_explanation import (
    GuardExplanation,
    RouteExplainer,
    RouteExplanation,
    RuledOut,
)
from boragetrestle_sidecar.route_query import (
    MAX_ANSWERS_PER_SECOND,
    RouteQueries,
)

REGIONS = {
    DomainName('a'): RegionName('north'),
    DomainName('b'): RegionName('south'),
}
QUERY = '/route?host=example&path=/walks/1'


class NoExploration:
    """Random numbers with which the best guard is always chosen."""

    def random(self) -> float:
        """Return a number above the share of random choices."""
        return 0.999

    def choice(self, found: Any) -> Any:
        """Return the first of some guards."""
        return found[0]

    def sample(self, found: Any, count: int) -> Any:
        """Return the first of some guards."""
        return found[:count]


def bench_in_two_domains(*routes: Any, **options: Any) -> EntryHarness:
    """Return an entry in the domain a with a guard in each domain."""
    bench = EntryHarness(*routes, **options)
    bench.entry.settings = replace(bench.entry.settings, regions=REGIONS)
    numbers: Any = NoExploration()
    bench.entry.parts = replace(bench.entry.parts, chance=numbers)
    bench.entry.probe.chance = numbers
    report_loads(bench)
    return bench


def report_loads(bench: EntryHarness, **loads: Any) -> None:
    """Let the guard of each domain report its load."""
    for name in bench.hops:
        load = loads.get(name, LOAD)
        bench.fleet.update_load(
            node_load(name, load=load)._replace(domain=name)
        )


def explain(bench: EntryHarness, name: str = 'acacia') -> RouteExplanation:
    """Return the explanation for the first route and an organisation."""
    known = bench.entry.configuration
    assert known is not None
    found = known.find_route('example', '/walks/1')
    assert found is not None
    return RouteExplainer(bench.entry).explain(
        found, known.organisations.get(name)
    )


def guard_of(found: RouteExplanation, address: str) -> GuardExplanation:
    """Return what is said of one guard."""
    return next(each for each in found.candidates if each.address == address)


def close(bench: EntryHarness) -> None:
    """Let the guard a report that it is closed."""
    report_loads(bench, a=LOAD._replace(is_open=False))


def evacuate(bench: EntryHarness) -> None:
    """Let operators evacuate the domain a."""
    state = EvacuationState(1, is_complete=True, position=1, domains=('a',))
    bench.fleet.evacuations.apply_if_newer(state, source='store')


def allow_south(bench: EntryHarness) -> None:
    """Allow the region of the domain b only."""
    assert bench.entry.configuration is not None
    bench.use(
        type(bench.entry.configuration)(
            version=bench.entry.configuration.version,
            document=b'1',
            routes=(route(regions=('south',)),),
            organisations=bench.entry.configuration.organisations.values(),
        )
    )
    report_loads(bench)


def silence(bench: EntryHarness) -> None:
    """Let the guard a leave a message unanswered."""
    bench.hops['a'].silent = GUARD_SILENCE_SECONDS + 0.1


def send_one(bench: EntryHarness) -> list[str]:
    """Send a request; return the guards that got it."""
    connection, _transport = bench.connect()
    connection.data_received(request_bytes())
    return [name for name, hop in bench.hops.items() if hop.sent]


@pytest.mark.parametrize(
    ('rule_out', 'reason'),
    [
        (close, RuledOut.CLOSED),
        (evacuate, RuledOut.EVACUATED),
        (allow_south, RuledOut.REGION),
        (silence, RuledOut.UNRESPONSIVE),
    ],
)
def test_each_reason_against_a_guard_is_named(
    rule_out: Callable[[EntryHarness], None],
    reason: RuledOut,
) -> None:
    """The answer must not name a guard that the entry would not choose."""
    bench = bench_in_two_domains()
    assert explain(bench).choice == 'a'
    rule_out(bench)
    found = explain(bench)
    assert guard_of(found, 'a').ruled_out == (reason,)
    assert guard_of(found, 'a').expected_seconds is None
    assert guard_of(found, 'b').ruled_out == ()
    assert (found.choice, found.next_best) == ('b', '')
    assert send_one(bench) == ['b']


def test_all_reasons_against_a_guard_are_named() -> None:
    """Mending one of two reasons would not bring the guard back."""
    bench = bench_in_two_domains()
    close(bench)
    evacuate(bench)
    assert guard_of(explain(bench), 'a').ruled_out == (
        RuledOut.EVACUATED,
        RuledOut.CLOSED,
    )


def test_silent_guards_are_candidates_if_all_are_silent() -> None:
    """The entry sends to them rather than refuse."""
    bench = bench_in_two_domains()
    for hop in bench.hops.values():
        hop.silent = GUARD_SILENCE_SECONDS + 0.1
    found = explain(bench)
    assert [each.ruled_out for each in found.candidates] == [(), ()]
    assert send_one(bench) == [found.choice]


@pytest.mark.parametrize(
    'load',
    [
        LOAD,
        LOAD._replace(running=30, waiting=20),
        LOAD._replace(run_seconds=0.5),
        LOAD._replace(run_seconds=0.0),
        LOAD._replace(failing_share=0.6),
        LOAD._replace(limit=0.2),
    ],
)
def test_choice_is_that_of_the_entry(load: Any) -> None:
    """An explanation that computes costs on its own could differ."""
    bench = bench_in_two_domains()
    report_loads(bench, a=load)
    found = explain(bench)
    costs = {each.address: each.expected_seconds for each in found.candidates}
    assert costs[found.choice] == min(
        costs.values(), key=lambda cost: cost or 0
    )
    assert {found.choice, found.next_best} == {'a', 'b'}
    assert send_one(bench) == [found.choice]


@pytest.mark.parametrize(
    ('regions', 'is_open', 'reason'),
    [
        (('east',), True, Reason.REGION),
        ((), False, Reason.NO_TARGET),
    ],
)
def test_refusal_is_that_of_the_entry(
    regions: tuple[str, ...],
    is_open: bool,
    reason: Reason,
) -> None:
    """Without a guard, the answer gives the reason that a caller gets."""
    bench = bench_in_two_domains(route(regions=regions))
    load = LOAD._replace(is_open=is_open)
    report_loads(bench, a=load, b=load)
    found = explain(bench)
    assert (found.choice, found.refusal) == ('', reason)
    connection, transport = bench.connect()
    connection.data_received(request_bytes())
    assert reason.encode() in transport.written


def test_regions_of_route_and_organisation_both_bind() -> None:
    """The organisation's region rules out a guard that the route allows."""
    bench = bench_in_two_domains(
        route(regions=('north', 'south')),
        organisations=(organisation(regions=('south',)),),
    )
    assert explain(bench).regions == (RegionName('south'),)
    assert explain(bench, name='').regions == ('north', 'south')


def observable_state(bench: EntryHarness) -> Any:
    """Return a copy of all that a request would change."""
    entry = bench.entry
    shares = bench.rates.shares
    return copy.deepcopy((
        entry.arrivals,
        len(entry.requests),
        entry.service_split.credits,
        entry.telemetry.render(),
        bench.admission.admitted_rates,
        {name: vars_of(share) for name, share in shares.shares.items()},
        (shares.granted_tokens, shares.no_tokens_until),
        sorted(bench.rates.demand),
        {
            service: counted.running_sum
            for service, counted in bench.budget.requests.items()
        },
        sorted(bench.budget.retries),
        (bench.attribution.by_expiry, bench.attribution.by_route),
        [vars_of(view) for view in bench.fleet.views.values()],
        [(len(hop.sent), hop.probes) for hop in bench.hops.values()],
        bench.log.lines,
    ))


def vars_of(found: Any) -> dict[str, Any]:
    """Return the fields of an object with slots, without its channel."""
    return {
        name: getattr(found, name) for name in found.__slots__ if name != 'hop'
    }


def test_nothing_is_changed_by_asking() -> None:
    """Operators may ask often without an effect on callers."""
    bench = bench_in_two_domains(route(services={'walks': 1.0, 'shop': 2.0}))
    bench.entry.parts = replace(bench.entry.parts, chance=chance())
    bench.entry.probe.chance = bench.entry.parts.chance
    bench.entry.service_split.chance = bench.entry.parts.chance
    send_one(bench)
    bench.admission.own_arrivals = {'browse': 100.0}
    bench.admission.plan(total_of(status(arrivals={'browse': 100.0})))
    before = observable_state(bench)
    numbers = bench.entry.parts.chance.getstate()
    for _ in range(20):
        explain(bench)
    assert observable_state(bench) == before
    assert bench.entry.parts.chance.getstate() == numbers
    send_one(bench)
    assert observable_state(bench) != before


def test_service_is_that_of_the_next_request() -> None:
    """Routes with several services distribute requests by weight."""
    bench = bench_in_two_domains(route(services={'walks': 1.0, 'shop': 2.0}))
    assert any('service' in text for text in explain(bench).unknown)
    for _ in range(9):
        send_one(bench)
        known = bench.entry.configuration
        assert known is not None
        expected = explain(bench).service
        split = copy.deepcopy(bench.entry.service_split)
        assert split.choose(known.routes[0]) == expected


def test_limits_are_read_as_configured() -> None:
    """A rate limit's tokens are spread over nodes: what is left is unknown."""
    bench = bench_in_two_domains(organisations=(organisation(rate=7, burst=9),))
    found = explain(bench)
    assert (found.rate, found.burst, found.admission_share) == (7, 9, None)
    assert any('token' in text for text in found.unknown)
    assert any('plan' in text for text in found.unknown)
    bench.admission.plan(
        total_of(status(arrivals={'browse': 5000.0}, run_seconds=1.0))
    )
    shares = bench.admission.admitted_shares
    assert explain(bench).admission_share == shares['browse']


def test_what_is_not_known_is_said() -> None:
    """Operators must not take the answer for more than it is."""
    bench = bench_in_two_domains()
    bench.fleet.members['c'] = Member('c', 'b', 'walks')
    bench.clock.now += 0.3
    texts = ' / '.join(explain(bench, name='').unknown)
    for part in ('no organisation', 'load of 2 guards', 'load of 1 guards'):
        assert part in texts
    for number in range(MAX_COMPARED_GUARDS):
        bench.fleet.add(f'd-{number}', FakeHop())
        bench.fleet.update_load(node_load(f'd-{number}'))
    texts = ' / '.join(explain(bench).unknown)
    assert f'{MAX_COMPARED_GUARDS} of the' in texts


def ask(queries: RouteQueries, target: str = QUERY) -> tuple[int, Any]:
    """Return status and document of an answer."""
    found = queries.answer(CallerRequest(b'GET', target.encode()))
    return found.status, msgspec.json.decode(found.body)


def queries_of(bench: EntryHarness) -> RouteQueries:
    """Return the endpoint of an entry."""
    return RouteQueries(RouteExplainer(bench.entry), clock=bench.clock)


@pytest.mark.parametrize(
    ('target', 'expected', 'code'),
    [
        ('/route', 400, 'query-malformed'),
        ('/route?host=example', 400, 'query-malformed'),
        (f'{QUERY}&path=/walks/2', 400, 'query-malformed'),
        (f'{QUERY}&{"x=1&" * 20}', 400, 'query-malformed'),
        ('/route?host=other&path=/walks/1', 404, 'no-route'),
        ('/route?host=example&path=/x', 404, 'no-route'),
        (f'{QUERY}&organisation=nobody', 404, 'organisation-unknown'),
    ],
)
def test_question_without_answer_has_a_code_and_a_remedy(
    target: str,
    expected: int,
    code: str,
) -> None:
    """The command tells faults of the question by the code."""
    found, document = ask(queries_of(bench_in_two_domains()), target)
    assert (found, document['code']) == (expected, code)
    assert document['message']
    assert document['remedy']


def test_node_without_configuration_says_so() -> None:
    """A node that has just started knows no routes."""
    bench = bench_in_two_domains()
    bench.entry.configuration = None
    assert ask(queries_of(bench))[1]['code'] == 'no-configuration'


def test_questions_beyond_the_rate_are_refused() -> None:
    """Questions must not take the time of requests."""
    bench = bench_in_two_domains()
    queries = queries_of(bench)
    found = [ask(queries)[0] for _ in range(MAX_ANSWERS_PER_SECOND + 3)]
    assert found == [200] * MAX_ANSWERS_PER_SECOND + [429] * 3
    bench.clock.now += 1
    assert ask(queries)[0] == 200
