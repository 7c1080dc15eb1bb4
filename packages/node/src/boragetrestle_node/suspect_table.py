"""The suspects that a node knows, in bounded memory."""

from collections import Counter, OrderedDict

import trio

from boragetrestle_node.fingerprint import Fingerprint
from boragetrestle_node.suspect import Death, Suspect, SuspectState

QUARANTINE_SECONDS = 60.0
MAX_SUSPECTS = 1024

_QUARANTINE_DEATHS = 2
_MAX_DEATHS = 8
_SUSPECT_EXPIRY_SECONDS = 600.0
_MAX_QUARANTINE_SECONDS = 960.0


class SuspectTable:
    """Count, for each request, the deaths of targets while it was running.

    The second death quarantines a request, unless another suspect was running
    at the same deaths: then it has to have been the only suspect at one of
    them. After the quarantine a request is a suspect again; each further death
    doubles its next quarantine, up to 16 minutes. Beyond ``MAX_SUSPECTS`` the
    least recently used suspect is dropped.
    """

    def __init__(self) -> None:
        self.suspects: OrderedDict[Fingerprint, Suspect] = OrderedDict()
        self.heads: Counter[str] = Counter()

    def knows_head(self, head: str) -> bool:
        """Return whether any suspect has a head with this digest."""
        return head in self.heads

    def find(self, fingerprint: Fingerprint) -> Suspect | None:
        """Return a suspect that has not expired."""
        suspect = self.suspects.get(fingerprint)
        if suspect is None:
            return None
        if suspect.expires_at <= trio.current_time():
            self._drop(fingerprint)
            return None
        self.suspects.move_to_end(fingerprint)
        return suspect

    def add_death(
        self,
        fingerprint: Fingerprint,
        death: Death,
        *,
        ran_exclusively: bool,
    ) -> bool:
        """Count a death; return whether the report says anything new."""
        suspect = self.find(fingerprint) or self._add(fingerprint)
        is_new_evidence = ran_exclusively and not suspect.ran_exclusively
        suspect.ran_exclusively = suspect.ran_exclusively or ran_exclusively
        if suspect.has_counted(death) or len(suspect.deaths) >= _MAX_DEATHS:
            return is_new_evidence
        suspect.deaths.append(death)
        suspect.expires_at = trio.current_time() + _SUSPECT_EXPIRY_SECONDS
        if len(suspect.deaths) >= _QUARANTINE_DEATHS:
            _start_quarantine(suspect)
        return True

    def state(self, suspect: Suspect) -> SuspectState:
        """Return what is done with a suspect now."""
        is_refused = trio.current_time() < suspect.refused_until
        if is_refused and (
            suspect.ran_exclusively or self._is_only_suspect(suspect)
        ):
            return SuspectState.QUARANTINED
        return SuspectState.SUSPECTED

    def clear(self, fingerprint: Fingerprint) -> bool:
        """Drop a suspect unless it is quarantined; return whether dropped."""
        suspect = self.find(fingerprint)
        if suspect is None:
            return False
        if self.state(suspect) is SuspectState.QUARANTINED:
            return False
        self._drop(fingerprint)
        return True

    def _is_only_suspect(self, suspect: Suspect) -> bool:
        return not any(
            other is not suspect and suspect.shares_deaths(other)
            for other in self.suspects.values()
        )

    def _add(self, fingerprint: Fingerprint) -> Suspect:
        suspect = Suspect(trio.current_time() + _SUSPECT_EXPIRY_SECONDS)
        self.suspects[fingerprint] = suspect
        self.heads[head_digest(fingerprint)] += 1
        if len(self.suspects) > MAX_SUSPECTS:
            self._drop(next(iter(self.suspects)))
        return suspect

    def _drop(self, fingerprint: Fingerprint) -> None:
        self.suspects.pop(fingerprint)
        head = head_digest(fingerprint)
        self.heads[head] -= 1
        if not self.heads[head]:
            self.heads.pop(head)


def head_digest(fingerprint: Fingerprint) -> str:
    """Return the request head's digest, the first part of a fingerprint."""
    return fingerprint.partition('-')[0]


def _start_quarantine(suspect: Suspect) -> None:
    doubled = QUARANTINE_SECONDS * 2**suspect.quarantine_count
    quarantine_seconds = min(doubled, _MAX_QUARANTINE_SECONDS)
    suspect.quarantine_count += 1
    suspect.refused_until = trio.current_time() + quarantine_seconds
    suspect.expires_at += quarantine_seconds
