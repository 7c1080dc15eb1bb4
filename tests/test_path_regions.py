"""Routes and organisations that may be served in some regions only."""

from dataclasses import replace

import pytest
from entry_builders import EntryHarness, node_load, request_bytes
from path_builders import organisation, route

from boragetrestle_kernel.ids import DomainName, RegionName
from boragetrestle_sidecar.outcome import OutcomeKind, Reason

REGIONS = {
    DomainName('a'): RegionName('north'),
    DomainName('b'): RegionName('south'),
}


def bench_in_two_regions(
    *,
    route_regions: tuple[str, ...] = (),
    organisation_regions: tuple[str, ...] = (),
) -> EntryHarness:
    """Return an entry in the north with a guard in each region."""
    bench = EntryHarness(
        route(regions=route_regions),
        organisations=(organisation(regions=organisation_regions),),
    )
    bench.fleet.update_load(node_load('b')._replace(domain='b'))
    bench.entry.settings = replace(bench.entry.settings, regions=REGIONS)
    return bench


@pytest.mark.parametrize(
    ('of_route', 'of_organisation', 'guards'),
    [
        ((), (), {'a', 'b'}),
        (('south',), (), {'b'}),
        ((), ('south',), {'b'}),
        (('north', 'south'), ('south',), {'b'}),
        (('north',), ('south',), set()),
        (('east',), (), set()),
    ],
)
def test_requests_go_only_where_route_and_organisation_allow(
    of_route: tuple[str, ...],
    of_organisation: tuple[str, ...],
    guards: set[str],
) -> None:
    """Both bind where both are given."""
    bench = bench_in_two_regions(
        route_regions=of_route,
        organisation_regions=of_organisation,
    )
    connection, transport = bench.connect()
    for number in range(40):
        connection.data_received(request_bytes(f'r-{number}'))
        if guards:
            bench.sent_for(f'r-{number}')[0].answer()
    assert {name for name, hop in bench.hops.items() if hop.sent} <= guards
    assert (b'region-not-allowed' in transport.written) == (not guards)


@pytest.mark.parametrize(
    ('kind', 'reason'),
    [
        (OutcomeKind.NOT_SENT, Reason.QUEUE_FULL),
        (OutcomeKind.REJECTED, Reason.TARGET_REJECTED),
        (OutcomeKind.UNKNOWN, Reason.CONNECTION_LOST),
    ],
)
def test_retry_stays_in_the_allowed_region(
    kind: OutcomeKind,
    reason: Reason,
) -> None:
    """No kind of retry takes a body to another region."""
    bench = bench_in_two_regions(route_regions=('south',))
    connection, _transport = bench.connect()
    connection.data_received(request_bytes())
    bench.sent()[0].end(kind, reason)
    assert not bench.hops['a'].sent


def test_failed_answer_is_not_retried_in_another_region() -> None:
    """The only target that may serve it has answered 500."""
    bench = bench_in_two_regions(route_regions=('south',))
    connection, transport = bench.connect()
    connection.data_received(request_bytes())
    bench.sent()[0].answer(status=500)
    assert not bench.hops['a'].sent
    assert b'500' in transport.written
