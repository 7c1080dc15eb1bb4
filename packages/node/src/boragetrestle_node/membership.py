"""Join, drain and leave the fleet on behalf of the target beside a node."""

import random

import msgspec
import trio

from boragetrestle_kernel.errors import StoreError
from boragetrestle_kernel.ids import (
    DomainName,
    Incarnation,
    NodeId,
    ServiceName,
    TargetId,
)
from boragetrestle_kernel.member_record import (
    Liveness,
    MemberRecord,
    Rank,
    member_key,
)
from boragetrestle_kernel.settings import NodeSettings
from boragetrestle_kernel.target_record import TargetRecord, TargetState
from boragetrestle_kernel.timeline import EventKind, Timeline
from boragetrestle_node.announcement import Announcement
from boragetrestle_node.directory import Directory
from boragetrestle_node.members import Members
from boragetrestle_platform.table import Delete, Put, Table, Transaction

_REASSERT_SECONDS = 600.0
_REASSERT_JITTER = (0.8, 1.2)
_RETRY_SECONDS = 15.0
_LEAVE_SECONDS = 2.0
_SPREAD_SECONDS = 0.2


class Membership:
    """Author the record of this node and keep its row in the table.

    The record counts from the moment it changes; its row follows as soon as
    the store takes it, so that a store outage delays no announcement.
    """

    def __init__(
        self,
        settings: NodeSettings,
        table: Table,
        directory: Directory,
        *,
        members: Members,
        timeline: Timeline,
        first_incarnation: int,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.table = table
        self.directory = directory
        self.members = members
        self.timeline = timeline
        self.rng = rng
        self.has_row = False
        self.row_due = trio.Event()
        self.own: dict[TargetId, TargetRecord] = {}
        self.record = MemberRecord(
            node=NodeId(settings.node),
            domain=DomainName(settings.domain),
            region=settings.region,
            peers=settings.listen.peers,
            incarnation=Incarnation(first_incarnation),
        )

    def begin(self) -> None:
        """Become a member, at first without a target."""
        self.members.remember(self.record)

    async def announce(self, announcement: Announcement) -> TargetRecord:
        """Take what the target beside this node says about itself."""
        await trio.lowlevel.checkpoint()
        target = self._target(announcement)
        others = tuple(
            known
            for known in self.record.targets
            if known.target != target.target
        )
        for known in self.record.targets:
            same = msgspec.structs.replace(
                known,
                incarnation=target.incarnation,
            )
            if same == target:
                return known
        if target.state is TargetState.GONE:
            self._publish(targets=others)
        else:
            self._publish(targets=(*others, target))
        return target

    async def drain(self) -> None:
        """Tell the fleet that the targets take no new calls."""
        await trio.lowlevel.checkpoint()
        incarnation = self._next_incarnation()
        self._publish(
            targets=tuple(
                msgspec.structs.replace(
                    target,
                    state=TargetState.DRAINING,
                    incarnation=incarnation,
                )
                for target in self.record.targets
            ),
        )
        self.timeline.record(
            EventKind.TARGET_DRAINING,
            subject=self.record.node,
        )

    def mark(self, target: TargetId, state: TargetState) -> None:
        """Change the state of one target."""
        incarnation = self._next_incarnation()
        self._publish(
            targets=tuple(
                msgspec.structs.replace(
                    known,
                    state=state,
                    incarnation=incarnation,
                )
                if known.target == target
                else known
                for known in self.record.targets
            ),
        )

    async def leave(self) -> None:
        """Leave the fleet and remove the row, as far as the store allows."""
        self._publish(targets=(), liveness=Liveness.LEFT)
        await trio.sleep(_SPREAD_SECONDS)
        with trio.move_on_after(_LEAVE_SECONDS):
            try:
                await self._write_row()
            except StoreError as error:
                self.timeline.record(EventKind.STORE_LOST, reason=str(error))

    def refute(self, incarnation: Incarnation, liveness: Liveness) -> None:
        """Outrank a record of this node that is not its own."""
        is_known = Rank(incarnation, liveness) <= self.record.rank
        if is_known or self.record.liveness is Liveness.LEFT:
            return
        self._publish(incarnation=Incarnation(incarnation + 1))

    async def keep_row(self) -> None:
        """Write the row after each change, and assert it again at times."""
        while True:
            pause = _REASSERT_SECONDS * self.rng.uniform(*_REASSERT_JITTER)
            with trio.move_on_after(pause):
                await self.row_due.wait()
            self.row_due = trio.Event()
            try:
                await self._write_row()
            except StoreError as error:
                self.timeline.record(EventKind.STORE_LOST, reason=str(error))
                await trio.sleep(self.rng.uniform(1, _RETRY_SECONDS))
                self.row_due.set()

    def _publish(
        self,
        *,
        incarnation: Incarnation | None = None,
        targets: tuple[TargetRecord, ...] | None = None,
        liveness: Liveness = Liveness.ALIVE,
    ) -> None:
        if incarnation is None:
            incarnation = self._next_incarnation()
        if targets is None:
            targets = self.record.targets
        self.record = msgspec.structs.replace(
            self.record,
            incarnation=incarnation,
            targets=targets,
            liveness=liveness,
        )
        self.own.clear()
        self.own.update({target.target: target for target in targets})
        self.members.remember(self.record)
        self.row_due.set()

    def _next_incarnation(self) -> Incarnation:
        return Incarnation(self.record.incarnation + 1)

    async def _write_row(self) -> None:
        key = member_key(self.record.node)
        write: Put | Delete = Delete(key)
        if self.record.targets:
            write = Put(key, msgspec.json.encode(self.record))
        elif not self.has_row:
            return
        await self.table.commit(Transaction(writes=(write,)))
        self.has_row = isinstance(write, Put)

    def _target(self, announcement: Announcement) -> TargetRecord:
        settings = self.settings
        return TargetRecord(
            target=TargetId(f'{settings.node}:{announcement.service}'),
            service=ServiceName(announcement.service),
            node=NodeId(settings.node),
            domain=DomainName(settings.domain),
            region=settings.region,
            address=announcement.address,
            node_calls=settings.listen.calls,
            node_peers=settings.listen.peers,
            node_admin=settings.listen.admin,
            slots=announcement.slots,
            connections=announcement.connections,
            state=TargetState(announcement.state),
            incarnation=self._next_incarnation(),
        )
