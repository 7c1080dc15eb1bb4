"""Callers that leave while their requests run."""

from entry_builders import EntryHarness, node_load, request_bytes
from path_builders import GuardHarness

from boragetrestle_sidecar.hop import LocalHop


def test_run_of_a_caller_that_left_is_not_placed_again() -> None:
    """The guard of the same node reports the cancelled run at once."""
    bench = EntryHarness()
    guard_bench = GuardHarness(slots=1)
    bench.fleet.add('a', LocalHop(guard_bench.guard))
    bench.fleet.update_load(node_load('a'))
    bench.fleet.update_load(
        node_load('b')._replace(load=node_load('b').load._replace(running=900))
    )
    connection, _transport = bench.connect()
    connection.data_received(b''.join(map(request_bytes, 'xyz')))
    assert not bench.hops['b'].sent
    connection.connection_lost(None)
    assert not bench.hops['b'].sent
    assert not guard_bench.guard.jobs
    assert not bench.entry.requests
