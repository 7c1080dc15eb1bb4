"""The failure domains to whose targets nothing may be sent.

Operators ask for it in the store. Nodes that follow the store pass the newest
snapshot of their requests on, so it may reach a node on several ways and in any
order.
"""

from collections.abc import Callable, Iterable
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from boragetrestle_kernel.ids import DomainName
    from boragetrestle_sidecar.decision_log import DecisionLog


class EvacuationState(NamedTuple):
    """All evacuated domains at one state of the store.

    ``epoch`` and ``position`` say which state. A snapshot that is not
    ``is_complete`` may lack requests that operators are about to write again
    after the store came back from an older copy.

    >>> EvacuationState(1, is_complete=False) < EvacuationState(1, True, 3)
    True
    """

    epoch: int = 0
    is_complete: bool = False
    position: int = 0
    domains: tuple[str, ...] = ()

    @property
    def sort_key(self) -> tuple[int, bool, int]:
        """The sort key that orders snapshots by age."""
        return (self.epoch, self.is_complete, self.position)


class Evacuations:
    """Keep the newest snapshot; an older one never replaces it.

    ``known_domains`` are those of the settings; requests for others are logged
    and ignored. ``subscribers`` are called after a change of the domains.
    """

    def __init__(
        self,
        log: 'DecisionLog',
        *,
        known_domains: 'Iterable[DomainName]' = (),
    ) -> None:
        self.log = log
        self.known_domains = frozenset(known_domains)
        self.state = EvacuationState()
        self.domains: frozenset[str] = frozenset()
        self.subscribers: list[Callable[[], None]] = []

    def apply_if_newer(self, state: EvacuationState, *, source: str) -> bool:
        """Take over a newer snapshot; return whether the domains changed.

        ``source`` says where it came from, for the log.
        """
        known = self.state
        if not state.is_complete:
            # Its sender may never have known requests that this node knows.
            added = {*state.domains, *known.domains}
            state = state._replace(domains=tuple(sorted(added)))
        is_added = state.sort_key == known.sort_key and state != known
        if state.sort_key <= known.sort_key and (
            state.is_complete or not is_added
        ):
            return False
        self.state = state
        domains = frozenset(state.domains)
        unknown = domains - self.known_domains if self.known_domains else ()
        if unknown:
            self.log.write_limited(
                'evacuation-refused',
                domains=sorted(unknown),
                error='the settings name no such failure domain',
                known=sorted(self.known_domains),
            )
            domains -= frozenset(unknown)
        if domains == self.domains:
            return False
        self.log.write_unlimited(
            'evacuations-changed',
            domains=sorted(domains),
            before=sorted(self.domains),
            epoch=state.epoch,
            position=state.position,
            source=source,
        )
        self.domains = domains
        for notify in self.subscribers:
            notify()
        return True
