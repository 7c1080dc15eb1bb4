"""Split each organisation's rate evenly over the nodes."""

import trio

from boragetrestle_kernel.ids import OrgId
from boragetrestle_kernel.service_text import Organisation
from boragetrestle_node.rate_policy import RateParts, rate_policy
from boragetrestle_node.token_share import TokenShare

DEFAULT_RETRY_SECONDS = 1.0


@rate_policy('even-split')
class EvenSplit:
    """Give every node the same part of rate and burst.

    This is a baseline for benchmarks. It admits more than the rate while nodes
    know different numbers of members, and refuses calls within the rate when
    they come to the nodes unevenly.
    """

    def __init__(self, parts: RateParts) -> None:
        self.parts = parts
        self.shares: dict[OrgId, TokenShare] = {}

    def take(self, organisation: OrgId) -> float | None:
        """Return ``None`` if admitted, else seconds until it may try again."""
        known = self.parts.state.organisations.get(organisation)
        if known is None:
            return DEFAULT_RETRY_SECONDS
        share = self._share(organisation, known)
        if share.tokens < 1:
            return (1 - share.tokens) / (known.rate * share.rate)
        share.tokens -= 1
        return None

    async def wait_for_token(
        self,
        organisation: OrgId,
        *,
        timeout: float,
    ) -> float | None:
        """Try again at once, since no other node sends tokens."""
        await trio.lowlevel.checkpoint()
        return self.take(organisation)

    async def run(
        self,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Wait until cancelled."""
        task_status.started()
        await trio.sleep_forever()

    async def stop(self) -> None:
        """Do nothing; the other nodes notice that there is one less."""
        await trio.lowlevel.checkpoint()

    def _share(self, name: OrgId, known: Organisation) -> TokenShare:
        part = 1 / max(1, self.parts.members.present_count)
        now = trio.current_time()
        share = self.shares.get(name)
        if share is None:
            tokens = part * known.burst
            share = TokenShare(rate=part, burst=part, tokens=tokens, now=now)
            self.shares[name] = share
        share.refill(now, known)
        share.rate = part
        share.burst = part
        share.clip(known)
        return share
