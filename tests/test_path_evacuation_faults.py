"""Evacuations that a fresh node or a restored store could lose."""

from types import SimpleNamespace
from typing import Any

import pytest
from path_builders import LineLog

from boragetrestle_sidecar import store_sync
from boragetrestle_sidecar.evacuations import Evacuations, EvacuationState
from boragetrestle_sidecar.store_sync import StoreSync
from boragetrestle_sidecar.table_watch import REJOIN_SECONDS

ROWS = {'evacuate/a': None}


class SyncHarness:
    """A node's reading of the operators' table, on a clock of its own."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, *, age: float) -> None:
        self.now = 1000.0
        monkeypatch.setattr(store_sync, 'steady_now', lambda: self.now)
        self.evacuations = Evacuations(LineLog())
        sync: Any = StoreSync.__new__(StoreSync)
        sync.adapter = SimpleNamespace(evacuation_prefix='evacuate/')
        sync.fleet = SimpleNamespace(evacuations=self.evacuations)
        sync.tree = SimpleNamespace(
            apply_evacuations=self.evacuations.apply_if_newer
        )
        sync.started_at = self.now - age
        sync.incomplete_watch = None
        sync.restored_epoch = None
        sync.restored_at = 0.0
        self.sync = sync

    def read(self, epoch: int, position: int, rows: dict[str, None]) -> None:
        """Let the node read the table."""
        watch: Any = SimpleNamespace(
            epoch=epoch, position=position, rows=rows, is_rejoining=False
        )
        self.sync._apply_evacuation_rows(watch)


def test_fresh_node_obeys_a_row_that_it_reads_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Its peers' older snapshot of the same epoch was taken for newer."""
    bench = SyncHarness(monkeypatch, age=0.5)
    known = EvacuationState(1, True, 5)
    bench.evacuations.apply_if_newer(known, source='peer')
    bench.read(1, 9, ROWS)
    assert bench.evacuations.domains == {'a'}


def test_first_read_of_a_restored_store_keeps_missing_rows(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A node that begins to follow has not seen the earlier epoch itself."""
    bench = SyncHarness(monkeypatch, age=60)
    known = EvacuationState(1, True, 5, ('a',))
    bench.evacuations.apply_if_newer(known, source='peer')
    bench.read(2, 3, {})
    assert bench.evacuations.domains == {'a'}
    bench.now += REJOIN_SECONDS * 1.1
    bench.sync.check_evacuations()
    assert not bench.evacuations.domains


@pytest.mark.parametrize('domains', [(), ('b',)])
def test_incomplete_snapshot_removes_no_evacuation(
    domains: tuple[str, ...],
) -> None:
    """A fresh node that read a restored store never knew of the request."""
    evacuations = Evacuations(LineLog())
    evacuations.apply_if_newer(
        EvacuationState(1, True, 5, ('a',)), source='store'
    )
    evacuations.apply_if_newer(
        EvacuationState(2, False, 3, domains), source='peer'
    )
    assert evacuations.domains == {'a', *domains}
    evacuations.apply_if_newer(EvacuationState(2, True, 3), source='store')
    assert not evacuations.domains


def test_incomplete_snapshots_of_one_state_are_joined() -> None:
    """Nodes read the same rows and keep different requests from before."""
    evacuations = Evacuations(LineLog())
    for domain in 'ab':
        evacuations.apply_if_newer(
            EvacuationState(2, False, 3, (domain,)), source='peer'
        )
    assert evacuations.domains == {'a', 'b'}
