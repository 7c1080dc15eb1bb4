"""Keep this node in step with the store, directly or through other nodes."""

import random
from collections.abc import Awaitable, Callable
from functools import partial
from typing import TYPE_CHECKING

from boragetrestle_sidecar.cost_archive import CostArchive
from boragetrestle_sidecar.counted_store import CountedStore
from boragetrestle_sidecar.evacuations import EvacuationState
from boragetrestle_sidecar.http_caller import HttpCaller
from boragetrestle_sidecar.registration import NODES_TABLE, Registration
from boragetrestle_sidecar.steady_clock import steady_now
from boragetrestle_sidecar.store_following import StoreFollowing
from boragetrestle_sidecar.suspect_archive import SuspectArchive
from boragetrestle_sidecar.table_watch import REJOIN_SECONDS, TableWatch
from boragetrestle_sidecar.target_archive import TargetArchive

if TYPE_CHECKING:
    from boragetrestle_sidecar.admission.admission import Admission
    from boragetrestle_sidecar.config_keeper import ConfigKeeper
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.fleet import Fleet
    from boragetrestle_sidecar.guard import Guard
    from boragetrestle_sidecar.member_links import MemberLinks
    from boragetrestle_sidecar.path_settings import PathSettings
    from boragetrestle_sidecar.platform_adapter import PlatformAdapter
    from boragetrestle_sidecar.telemetry import Telemetry
    from boragetrestle_sidecar.tree_exchange import TreeExchange

# Often many nodes change the table at once.
NODES_POLL_DELAY_SECONDS = 0.4
# Changes come in quick succession; peers that poll earlier pass them on.
CONFIG_POLL_DELAY_SECONDS = 0.6
# Rows that were found after a new epoch of the store have come by then; missing
# ones must be back within 2 s.
EPOCH_GRACE_SECONDS = 0.5


class StoreSync:
    """Read configuration, nodes and costs; write this node's rows."""

    def __init__(
        self,
        adapter: 'PlatformAdapter',
        settings: 'PathSettings',
        log: 'DecisionLog',
        *,
        fleet: 'Fleet',
        guard: 'Guard',
        links: 'MemberLinks',
        keeper: 'ConfigKeeper',
        admission: 'Admission',
        telemetry: 'Telemetry',
        chance: random.Random,
    ) -> None:
        self.adapter = adapter
        self.settings = settings
        self.log = log
        self.fleet = fleet
        self.keeper = keeper
        self.chance = chance
        self.following = StoreFollowing(
            is_first_start=settings.is_first_start,
            links=links,
            chance=chance,
            clock=steady_now,
        )
        self.store = CountedStore(
            adapter.open_store(HttpCaller(settings.store)),
            telemetry,
        )
        self.registration = Registration(fleet.own, self.store, log)
        self.costs = CostArchive(
            admission,
            self.store,
            log,
            writes=lambda: self.tree.leads_most,
            reads=self.following.needs_changes,
        )
        self.targets = TargetArchive(
            fleet.address,
            guard,
            self.store,
            log,
            is_first_start=settings.is_first_start,
            chance=chance,
        )
        self.suspects: SuspectArchive
        self.tree: TreeExchange
        self.started_at = steady_now()
        self.incomplete_watch: TableWatch | None = None
        self.restored_epoch: int | None = None
        self.restored_at = 0.0

    def connect(self, tree: 'TreeExchange') -> None:
        """Set the tree over which other nodes pass on what they read."""
        self.tree = tree
        self.following.tree = tree
        self.suspects = SuspectArchive(
            tree,
            self.store,
            self.log,
            is_first_start=self.settings.is_first_start,
            reads=self.following.needs_changes,
        )
        tree.on_rows = self.check_registration

    def jobs(self) -> 'list[Callable[[], Awaitable[None]]]':
        """Return what has to run in the background."""
        watch: Callable[..., TableWatch] = partial(
            TableWatch,
            store=self.store,
            log=self.log,
            chance=self.chance,
        )
        nodes = watch(
            NODES_TABLE,
            on_change=self._apply_node_rows,
            is_needed=self.following.needs_nodes,
            poll_delay=NODES_POLL_DELAY_SECONDS,
        )
        operators = watch(
            self.adapter.config_table,
            on_change=self._apply_configuration_row,
            is_needed=self.following.needs_changes,
            poll_delay=CONFIG_POLL_DELAY_SECONDS,
            on_confirmed=self.following.record_age,
        )
        if self.settings.is_first_start:
            self.registration.check()
        return [
            operators.run,
            nodes.run,
            self.registration.run,
            self.costs.run,
            self.targets.run,
            self.suspects.run,
        ]

    def check_registration(self) -> None:
        """Write this node's row again if the store lacks it.

        After a new epoch, the node that noticed it first passes on the rows
        that it found; only nodes whose rows it did not find write them again.
        """
        registration = self.registration
        known_for = steady_now() - self.tree.epoch_known_at
        if known_for > EPOCH_GRACE_SECONDS or not registration.epoch:
            registration.epoch = self.tree.epoch
        if self.following.has_nodes:
            row = self.fleet.table.row_of(self.fleet.address)
            registration.update_row(row)

    def check_epoch(self) -> None:
        """Check the rows some time after a new epoch of the store."""
        self.targets.check_epoch(self.tree.epoch)
        if self.registration.epoch != self.tree.epoch:
            self.check_registration()

    def check_evacuations(self) -> None:
        """Take over the rows again once none can be missing.

        Until then this node keeps domains whose rows are missing.
        """
        watch = self.incomplete_watch
        if watch is None or watch.position is None:
            return
        if self._has_all_evacuations(watch):
            self._apply_evacuation_rows(watch)

    @property
    def _is_new(self) -> bool:
        return steady_now() - self.started_at < REJOIN_SECONDS

    def _apply_configuration_row(self, watch: TableWatch) -> None:
        row = watch.rows.get(self.adapter.config_key)
        if row is not None:
            self.keeper.apply_if_newer(row.content, source='store')
        self._apply_evacuation_rows(watch)

    def _apply_evacuation_rows(self, watch: TableWatch) -> None:
        """Take over which domains operators have asked to evacuate.

        After the store came back from an older copy, and when this node has
        just started and may not know of that, rows that are missing count as
        requests that operators are about to write again.
        """
        assert watch.epoch is not None
        assert watch.position is not None
        prefix = self.adapter.evacuation_prefix
        domains = {
            key.removeprefix(prefix)
            for key in watch.rows
            if key.startswith(prefix)
        }
        is_complete = self._has_all_evacuations(watch)
        self.incomplete_watch = None if is_complete else watch
        state = EvacuationState(
            watch.epoch,
            is_complete,
            watch.position,
            tuple(sorted(domains)),
        )
        self.tree.apply_evacuations(state, source='store')

    def _has_all_evacuations(self, watch: TableWatch) -> bool:
        """Return whether no operators are about to write a row again.

        Another node may have waited for them in this epoch already. A node that
        reads the table for the first time compares with what others passed on.
        """
        assert watch.epoch is not None
        known = self.fleet.evacuations.state
        if known.is_complete and known.epoch == watch.epoch:
            return True
        if watch.is_rejoining or self._is_new:
            return False
        if known.epoch < watch.epoch and known.domains:
            if self.restored_epoch != watch.epoch:
                self.restored_epoch = watch.epoch
                self.restored_at = steady_now()
        if self.restored_epoch == watch.epoch:
            return steady_now() - self.restored_at > REJOIN_SECONDS
        return True

    def _apply_node_rows(self, watch: TableWatch) -> None:
        assert watch.epoch is not None
        assert watch.position is not None
        self.following.was_read = True
        self.tree.record_epoch(watch.epoch)
        changed = self.fleet.replace_rows(
            watch.rows,
            epoch=watch.epoch,
            position=watch.position,
            keeps_missing=watch.is_rejoining,
        )
        self.tree.pass_rows_on(changed)
        self.check_registration()
