"""Maintain links to a bounded number of other nodes.

A node has links to its parent in the tree of nodes, to a subset of the guards
of each service, and for some time to nodes that it asked for rate limit tokens.
"""

import asyncio
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import TYPE_CHECKING

from boragetrestle_kernel.address import Address
from boragetrestle_sidecar.domain_tree import DomainTree
from boragetrestle_sidecar.guard_subset import (
    GuardRanking,
    choose_subset,
    rank_guards,
)
from boragetrestle_sidecar.peer_link import PeerLink
from boragetrestle_sidecar.steady_clock import steady_now

if TYPE_CHECKING:
    from boragetrestle_sidecar.answer_buffers import AnswerBuffers
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.fleet import Fleet
    from boragetrestle_sidecar.member import Member
    from boragetrestle_sidecar.peer_messages import PeerMessages

# Several round trips: a link that takes longer to open is replaced meanwhile.
OPENING_SECONDS = 0.3
# A link that was opened to ask for tokens closes when unused for this long.
UNUSED_LINK_SECONDS = 10.0
# A parent that went silent is tried again after this.
SKIPPED_PARENT_SECONDS = 5.0


class MemberLinks:
    """Open links to the nodes that are needed and close the others.

    ``parents`` are the candidates for the parent in the tree, best first.
    """

    def __init__(
        self,
        fleet: 'Fleet',
        log: 'DecisionLog',
        *,
        answers: 'AnswerBuffers | None' = None,
        clock: Callable[[], float] = steady_now,
    ) -> None:
        self.fleet = fleet
        self.address = fleet.address
        self.log = log
        self.answers = answers
        self.clock = clock
        self.links: dict[str, PeerLink] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.retired: list[PeerLink] = []
        self.parents: list[str] = []
        self.skipped_parents: dict[str, float] = {}
        self.is_follower = True
        self.rankings: dict[str, GuardRanking] = {}
        self.messages: PeerMessages | None = None

    def get(self, address: str) -> PeerLink | None:
        """Return the link to a node, or None if there is none."""
        return self.links.get(address)

    def open(self, address: str) -> PeerLink | None:
        """Return the link to a node, opened if need be; None if unknown."""
        link = self.links.get(address)
        if link is None and address in self.fleet.members:
            if address != self.address:
                link = self._open(address)
        if link is not None:
            link.used_at = self.clock()
        return link

    @property
    def all_connected(self) -> bool:
        """Whether all links are open."""
        return all(link.is_up for link in self.links.values())

    def skip_parent(self, address: str) -> None:
        """Pass over a candidate for the parent for some time."""
        self.skipped_parents[address] = self.clock() + SKIPPED_PARENT_SECONDS

    def connected_parent(self) -> str | None:
        """Return the first candidate for the parent whose link is open."""
        for address in self._parents_to_try():
            link = self.links.get(address)
            if link is not None and link.is_up:
                return address
        return None

    def set_members(self, members: 'Sequence[Member]') -> None:
        """Adapt to the nodes of the fleet."""
        tree = DomainTree(self.address, members)
        self.parents = tree.parents
        self.is_follower = tree.is_follower
        by_service: dict[str, list[Member]] = {}
        for member in members:
            if member.service:
                by_service.setdefault(member.service, []).append(member)
        own_domain = self.fleet.own.domain
        self.rankings = {
            service: rank_guards(self.address, own_domain, guards)
            for service, guards in by_service.items()
        }
        self.log.write_unlimited(
            'members-changed',
            count=len(members),
            services={
                service: len(guards) for service, guards in by_service.items()
            },
            parents=self.parents[:2],
            is_follower=self.is_follower,
        )
        self.refresh()

    def refresh(self) -> None:
        """Open the links that are needed and close those that are not."""
        needed = set(self._needed())
        needed.discard(self.address)
        for address in needed - self.links.keys():
            self._open(address)
        oldest = self.clock() - UNUSED_LINK_SECONDS
        for address, link in list(self.links.items()):
            is_gone = address not in self.fleet.members
            if is_gone or (address not in needed and link.used_at < oldest):
                self._retire(address)

    def check_liveness(self, now: float) -> None:
        """Ping quiet peers and drop the links of silent ones."""
        for link in (*self.links.values(), *self.retired):
            link.check_liveness(now)
        for retired in list(self.retired):
            if not retired.replies:
                retired.abort()
                self.retired.remove(retired)

    def _parents_to_try(self) -> Iterator[str]:
        """Yield candidates; callers stop at the first one that is connected."""
        now = self.clock()
        for address in self.parents:
            if self.skipped_parents.get(address, 0.0) <= now:
                yield address

    def _needed(self) -> Iterable[str]:
        for address in self._parents_to_try():
            yield address
            if self._is_connected_or_opening(address):
                break
        for ranking in self.rankings.values():
            yield from choose_subset(ranking, self._is_usable)

    def _is_connected_or_opening(self, address: str) -> bool:
        link = self.links.get(address)
        if link is None:
            return True
        return link.is_up or self.clock() - link.down_since < OPENING_SECONDS

    def _is_usable(self, address: str) -> bool:
        if not self._is_connected_or_opening(address) and (
            address != self.address
        ):
            return False
        view = self.fleet.views.get(address)
        return view is None or view.is_open or not view.service

    def _open(self, address: str) -> PeerLink:
        assert self.messages is not None
        link = PeerLink(
            Address.parse(address), self.messages, self.log, self.answers
        )
        link.used_at = self.clock()
        self.links[address] = link
        self.fleet.add(address, link)
        loop = asyncio.get_running_loop()
        self.tasks[address] = loop.create_task(link.stay_connected())
        return link

    def _retire(self, address: str) -> None:
        """Close a link once the runs that it still carries have ended."""
        link = self.links.pop(address)
        self.tasks.pop(address).cancel()
        self.fleet.remove(address)
        self.retired.append(link)
