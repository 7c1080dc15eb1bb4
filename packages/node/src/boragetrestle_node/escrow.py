"""Divide each organisation's rate into shares and lease them to nodes."""

import itertools
import math
import secrets

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.ids import NodeId, OrgId
from boragetrestle_node.local_tokens import LocalTokens
from boragetrestle_node.rate_policy import RateParts, RatePolicy, rate_policy
from boragetrestle_node.share_asker import ShareAsker
from boragetrestle_node.share_holder import ShareHolder
from boragetrestle_node.share_messages import (
    ShareAsk,
    ShareGrant,
    ShareRecall,
)
from boragetrestle_node.share_placement import SharePlacement
from boragetrestle_node.share_survey import ShareSurvey
from boragetrestle_node.share_table import ShareTable
from boragetrestle_node.share_terms import ShareTerms
from boragetrestle_node.token_keeper import TokenKeeper

ASK_TIMEOUT_SECONDS = 0.4
RETURN_LEASES_TIMEOUT_SECONDS = 2.0
DEFAULT_RETRY_SECONDS = 1.0

_SESSION_BYTES = 8
_OWNER_TENURE_SECONDS = 15.0
_OWNER_RENEWAL_SECONDS = 5.0
_OWNER_TERMS = ShareTerms(
    shares=1,
    tenure=_OWNER_TENURE_SECONDS,
    renewal=_OWNER_RENEWAL_SECONDS,
)


class Escrow:
    """Admit calls with the tokens of leases that this node has.

    Only nodes that see demand of an organisation keep anything about it, and
    only a few hold its shares.
    """

    def __init__(self, parts: RateParts, terms: ShareTerms) -> None:
        self.parts = parts
        self.terms = terms
        self.placement = SharePlacement(parts.members)
        self.table = ShareTable(
            parts.table,
            parts.combiner,
            terms=terms,
            node=parts.node,
            address=parts.address,
            session=secrets.token_hex(_SESSION_BYTES),
        )
        self.holder = ShareHolder(
            self.table,
            terms=terms,
            state=parts.state,
            send=self._send_recall,
            timeline=parts.timeline,
            rng=parts.rng,
        )
        self.survey = ShareSurvey(
            self.holder,
            self.placement,
            state=parts.state,
            address=parts.address,
            rng=parts.rng,
        )
        self.numbers = itertools.count(1)
        self.local: dict[OrgId, LocalTokens] = {}
        self.keepers: dict[OrgId, TokenKeeper] = {}
        self.nursery: trio.Nursery | None = None
        self.is_stopping = False
        parts.links.on(ShareAsk, self.holder.receive, is_slow=True)
        parts.links.on(ShareRecall, self.receive_recall)

    def take(self, organisation: OrgId) -> float | None:
        """Return ``None`` if admitted, else seconds until it may try again."""
        known = self.parts.state.organisations.get(organisation)
        if known is None or self.is_stopping:
            return DEFAULT_RETRY_SECONDS
        now = trio.current_time()
        local = self._find_or_add_local(organisation, now)
        local.demand.count_call(now)
        if local.take(now, known):
            return None
        return max(local.pause_until - now, 1 / known.rate)

    async def wait_for_token(
        self,
        organisation: OrgId,
        *,
        timeout: float,
    ) -> float | None:
        """Wait for a token that ``take`` did not find."""
        local = self._find_or_add_local(organisation, trio.current_time())
        local.waiting += 1
        try:
            with trio.move_on_after(timeout):
                if await self._take_on_arrival(organisation, local):
                    return None
        finally:
            local.waiting -= 1
        now = trio.current_time()
        return max(local.pause_until - now, DEFAULT_RETRY_SECONDS)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Take and hold shares, and ask for tokens, until cancelled."""
        self.table.started_at = trio.current_time()
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            nursery.start_soon(self.survey.run)
            nursery.start_soon(self.holder.run)
            task_status.started()

    async def stop(self) -> None:
        """Return all leases, then release all shares."""
        self.is_stopping = True
        with trio.move_on_after(RETURN_LEASES_TIMEOUT_SECONDS):
            async with trio.open_nursery() as nursery:
                for keeper in self.keepers.values():
                    nursery.start_soon(keeper.return_leases)
        await self.holder.release()

    async def receive_recall(
        self,
        _sender: NodeId,
        recall: ShareRecall,
    ) -> None:
        """Lower a lease because other nodes are short of tokens."""
        await trio.lowlevel.checkpoint()
        keeper = self.keepers.get(OrgId(recall.organisation))
        if keeper is not None:
            keeper.recall(recall.share, recall.rate)

    async def _take_on_arrival(
        self, organisation: OrgId, local: LocalTokens
    ) -> bool:
        """Take a token; return ``False`` once waiting longer is useless."""
        while not local.is_exhausted and not self.is_stopping:
            now = trio.current_time()
            local.wake_keeper(now)
            arrived = local.arrived
            pause = local.pause_until - now
            with trio.move_on_after(pause if pause > 0 else math.inf):
                await arrived.wait()
            known = self.parts.state.organisations.get(organisation)
            if known is None:
                return False
            if local.take(trio.current_time(), known):
                return True
        return False

    def _find_or_add_local(
        self, organisation: OrgId, now: float
    ) -> LocalTokens:
        local = self.local.get(organisation)
        if local is None:
            local = LocalTokens(now)
            self.local[organisation] = local
        if organisation not in self.keepers and self.nursery is not None:
            self._start_keeper(organisation, local, self.nursery)
        return local

    def _start_keeper(
        self,
        organisation: OrgId,
        local: LocalTokens,
        nursery: trio.Nursery,
    ) -> None:
        asker = ShareAsker(
            organisation,
            terms=self.terms,
            placement=self.placement,
            session=self.table.session,
            address=self.parts.address,
            numbers=self.numbers,
            ask=self._ask,
        )
        keeper = TokenKeeper(
            local,
            asker,
            terms=self.terms,
            state=self.parts.state,
        )
        self.keepers[organisation] = keeper
        nursery.start_soon(self._run_keeper, organisation, keeper)

    async def _run_keeper(
        self,
        organisation: OrgId,
        keeper: TokenKeeper,
    ) -> None:
        await keeper.run()
        self.keepers.pop(organisation, None)
        if not keeper.local.waiting:
            self.local.pop(organisation, None)

    async def _ask(self, address: Address, ask: ShareAsk) -> ShareGrant | None:
        if str(address) != self.parts.address:
            found = await self.parts.links.ask(
                address,
                ask,
                timeout=ASK_TIMEOUT_SECONDS,
            )
            return found if isinstance(found, ShareGrant) else None
        with trio.move_on_after(ASK_TIMEOUT_SECONDS):
            return await self.holder.receive(self.parts.node, ask)
        return None

    def _send_recall(self, address: Address, recall: ShareRecall) -> None:
        if str(address) != self.parts.address:
            self.parts.links.send(address, recall)
            return
        keeper = self.keepers.get(OrgId(recall.organisation))
        if keeper is not None:
            keeper.recall(recall.share, recall.rate)


@rate_policy('escrow')
def _escrow(parts: RateParts) -> RatePolicy:
    return Escrow(parts, ShareTerms())


@rate_policy('owner')
def _owner(parts: RateParts) -> RatePolicy:
    return Escrow(parts, _OWNER_TERMS)
