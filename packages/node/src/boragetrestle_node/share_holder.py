"""Hold shares of rates at this node and answer messages about them."""

import random
from collections.abc import Callable, Collection

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import StoreError
from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.ids import NodeId
from boragetrestle_kernel.timeline import EventKind, Timeline
from boragetrestle_node.held_share import HeldShare, Recall
from boragetrestle_node.share_messages import (
    ShareAsk,
    ShareGrant,
    ShareRecall,
)
from boragetrestle_node.share_table import ShareId, ShareTable, TakeOutcome
from boragetrestle_node.share_terms import ShareTerms

RELEASE_TIMEOUT_SECONDS = 2.0

_CHECK_INTERVAL_SECONDS = 1.0
_RETRY_SECONDS = 1.0
_HELD_ELSEWHERE_RETRY_SECONDS = 20.0
_RENEW_JITTER = (0.8, 1.0)

SendRecall = Callable[[Address, ShareRecall], object]


class ShareHolder:
    """Grant leases of held shares; take and renew shares in the table.

    A node that sees calls of an organisation asks the holder of a share for a
    lease: a part of the share's rate, for some seconds.
    """

    def __init__(
        self,
        table: ShareTable,
        *,
        terms: ShareTerms,
        state: FleetState,
        send: SendRecall,
        timeline: Timeline,
        rng: random.Random,
    ) -> None:
        self.table = table
        self.terms = terms
        self.state = state
        self.send = send
        self.timeline = timeline
        self.rng = rng
        self.held: dict[ShareId, HeldShare] = {}
        self.taking: dict[ShareId, trio.Event] = {}
        self.holders: dict[ShareId, str] = {}
        self.retry_at: dict[ShareId, float] = {}
        self.renew_at: dict[ShareId, float] = {}
        self.is_stopping = False
        self.nursery: trio.Nursery | None = None

    async def receive(
        self, _sender: NodeId, ask: ShareAsk
    ) -> ShareGrant | None:
        """Answer a request for a lease; first take a share nobody holds."""
        organisation = self.state.organisations.get(ask.organisation)
        key = ShareId(ask.organisation, ask.share)
        if organisation is None or not 0 <= ask.share < self.terms.shares:
            return ShareGrant()
        if key not in self.held and not ask.is_return:
            await self._take_or_wait(key)
        held = self.held.get(key)
        if held is None or self.is_stopping:
            holder = self.holders.get(key)
            return ShareGrant(holder=holder or '')
        now = trio.current_time()
        grant = held.answer(ask, now, organisation)
        if grant is not None and grant.tokens < ask.wanted_tokens:
            self._send_recalls(
                key, held.choose_recalls(now, session=ask.session)
            )
        return grant

    def may_take(self, key: ShareId) -> bool:
        """Tell whether to try to take a share now.

        That is not so while this node holds it or is taking it, and for a while
        after an attempt failed.
        """
        is_known = key in self.held or key in self.taking
        is_early = trio.current_time() < self.retry_at.get(key, 0)
        return not (is_known or is_early or self.is_stopping)

    async def take_all(self, keys: Collection[ShareId]) -> bool:
        """Take those of the shares that nobody holds.

        Returns whether the store answered.
        """
        known = self.state.organisations
        wanted = {
            key: known[key.organisation]
            for key in keys
            if self.may_take(key) and key.organisation in known
        }
        done = trio.Event()
        self.taking.update(dict.fromkeys(wanted, done))
        try:
            taken = await self.table.take(wanted)
        except StoreError:
            retry_at = trio.current_time() + _RETRY_SECONDS
            self.retry_at.update(dict.fromkeys(wanted, retry_at))
            return False
        else:
            for key, outcome in taken.items():
                self._note_outcome(key, outcome)
        finally:
            for tried in wanted:
                self.taking.pop(tried)
            done.set()
        return True

    async def run(self) -> None:
        """Renew shares and drop lapsed ones until cancelled."""
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            while True:
                await trio.sleep(_CHECK_INTERVAL_SECONDS)
                for key, held in list(self.held.items()):
                    self._check_share(key, held, nursery)

    async def release(self) -> None:
        """Release all shares in the table; take no more."""
        self.is_stopping = True
        shares = list(self.held.items())
        self.held.clear()
        with trio.move_on_after(RELEASE_TIMEOUT_SECONDS):
            await self.table.release(shares)

    def _check_share(
        self,
        key: ShareId,
        held: HeldShare,
        nursery: trio.Nursery,
    ) -> None:
        now = trio.current_time()
        organisation = self.state.organisations.get(key.organisation)
        if now >= held.valid_until or organisation is None:
            self._drop(key, 'tenure lapsed, or organisation removed')
            return
        held.refresh(now, organisation)
        if now >= self.renew_at[key]:
            nursery.start_soon(self._renew, key, held)

    def _drop(self, key: ShareId, reason: str) -> None:
        self.held.pop(key)
        self.timeline.record(
            EventKind.SHARE_LAPSED,
            reason=reason,
            organisation=key.organisation,
            subject=str(key.share),
        )

    async def _renew(self, key: ShareId, held: HeldShare) -> None:
        self.renew_at[key] = trio.current_time() + _RETRY_SECONDS
        try:
            is_held = await self.table.renew(key, held)
        except StoreError:
            return
        if not is_held and self.held.get(key) is held:
            self._drop(key, 'renewal found another holder in the table')
            return
        self._plan_renewal(key)

    def _plan_renewal(self, key: ShareId) -> None:
        pause = self.terms.renewal * self.rng.uniform(*_RENEW_JITTER)
        self.renew_at[key] = trio.current_time() + pause

    async def _take_or_wait(self, key: ShareId) -> None:
        """Take a share, or wait for an attempt that is already running."""
        if self.nursery is not None and self.may_take(key):
            self.nursery.start_soon(self.take_all, [key])
            await trio.lowlevel.checkpoint()
        taking = self.taking.get(key)
        if taking is not None:
            await taking.wait()

    def _note_outcome(self, key: ShareId, taken: TakeOutcome) -> None:
        self.holders.pop(key, None)
        if taken.held is None:
            self.holders[key] = taken.holder
            self.retry_at[key] = (
                trio.current_time() + _HELD_ELSEWHERE_RETRY_SECONDS
            )
            return
        self.held[key] = taken.held
        self._plan_renewal(key)
        self.timeline.record(
            EventKind.SHARE_GRANTED,
            organisation=key.organisation,
            subject=str(key.share),
        )

    def _send_recalls(self, key: ShareId, recalls: list[Recall]) -> None:
        for recall in recalls:
            message = ShareRecall(key.organisation, key.share, recall.rate)
            self.send(Address.parse(recall.address), message)
