"""Passive ejection of targets that fail, and their return."""

import random
from collections.abc import Sequence

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_kernel.timeline import EventKind, Timeline
from boragetrestle_node.peer_links import PeerLinks
from boragetrestle_node.target_book import TargetBook
from boragetrestle_node.target_probe import TargetFailed
from boragetrestle_node.target_view import TargetView

MAX_EJECTED_SHARE = 0.5

_FAILURES_IN_ROW = 3
_LEAST_ANSWERS = 10
_ERROR_SHARE = 0.5
_OUTLIER_RATIO = 2.0
_FIRST_EJECTION_SECONDS = 1.0
_LONGEST_EJECTION_SECONDS = 30.0
_JITTER = (0.8, 1.2)
_OVERDUE_SECONDS = 5.0


class Ejector:
    """Take failing targets out of the choice for a while.

    Connections that fail in a row eject a target. A share of errors ejects it
    only if the other targets of its service do clearly better, so that a fault
    deeper in the graph ejects none. At most ``MAX_EJECTED_SHARE`` of a
    service's targets are out at a time. A trial call decides on the return;
    each failed one doubles the time until the next.
    """

    def __init__(
        self,
        book: TargetBook,
        timeline: Timeline,
        links: PeerLinks,
        rng: random.Random,
    ) -> None:
        self.book = book
        self.timeline = timeline
        self.links = links
        self.rng = rng

    def failed(
        self,
        record: TargetRecord,
        peers: Sequence[TargetRecord],
    ) -> None:
        """Count an attempt that broke the connection or got none."""
        view = self._count(record, is_error=True)
        view.failures_in_row += 1
        if view.is_ejected:
            self._eject(record, view, 'trial failed')
            self._tell(record)
        elif view.failures_in_row >= _FAILURES_IN_ROW:
            self._eject_within_share(record, peers, 'connections failed')
            self._tell(record)

    def answered(
        self,
        record: TargetRecord,
        peers: Sequence[TargetRecord],
        *,
        is_error: bool,
    ) -> None:
        """Count an answer, or a timeout as an error."""
        view = self._count(record, is_error=is_error)
        view.failures_in_row = 0
        if view.is_ejected:
            self._end_trial(record, view, is_error=is_error)
        elif is_error and self._is_outlier(record, view, peers):
            self._eject_within_share(record, peers, 'answers are errors')

    def is_usable(self, record: TargetRecord) -> bool:
        """Return whether a target takes ordinary calls."""
        view = self.book.views.get(record.target)
        return view is None or not view.is_ejected

    def is_trial_due(self, record: TargetRecord, *, is_safe: bool) -> bool:
        """Return whether a call may try an ejected target.

        A call that can be repeated is ``is_safe``; another call is taken only
        if none came for a while.
        """
        view = self.book.views.get(record.target)
        if view is None or not view.is_ejected or view.is_on_trial:
            return False
        wait = 0 if is_safe else _OVERDUE_SECONDS
        return trio.current_time() >= view.ejected_until + wait

    def _count(self, record: TargetRecord, *, is_error: bool) -> TargetView:
        view = self.book.view(record.target)
        view.count(is_error=is_error, now=trio.current_time())
        return view

    def _is_outlier(
        self,
        record: TargetRecord,
        view: TargetView,
        peers: Sequence[TargetRecord],
    ) -> bool:
        if view.answers < _LEAST_ANSWERS or view.error_share < _ERROR_SHARE:
            return False
        others = [
            self.book.view(peer.target).error_share
            for peer in peers
            if peer.target != record.target and self.is_usable(peer)
        ]
        mean = sum(others) / len(others) if others else 1
        return mean * _OUTLIER_RATIO <= view.error_share

    def _eject_within_share(
        self,
        record: TargetRecord,
        peers: Sequence[TargetRecord],
        reason: str,
    ) -> None:
        out = sum(not self.is_usable(peer) for peer in peers)
        if out + 1 <= len(peers) * MAX_EJECTED_SHARE:
            self._eject(record, self.book.view(record.target), reason)

    def _eject(
        self,
        record: TargetRecord,
        view: TargetView,
        reason: str,
    ) -> None:
        doubled = _FIRST_EJECTION_SECONDS * 2**view.ejections
        seconds = min(_LONGEST_EJECTION_SECONDS, doubled)
        wait = seconds * self.rng.uniform(*_JITTER)
        view.is_ejected = True
        view.is_on_trial = False
        view.ejections = min(view.ejections + 1, _LEAST_ANSWERS)
        view.ejected_until = trio.current_time() + wait
        self._record(EventKind.TARGET_EJECTED, record, reason)

    def _end_trial(
        self,
        record: TargetRecord,
        view: TargetView,
        *,
        is_error: bool,
    ) -> None:
        if is_error:
            self._eject(record, view, 'trial answered with an error')
            return
        view.is_ejected = False
        view.is_on_trial = False
        view.ejections = 0
        view.answers = 0
        view.errors = 0
        view.ramp_from = trio.current_time()
        self._record(EventKind.TARGET_RETURNED, record, 'trial answered')

    def _tell(self, record: TargetRecord) -> None:
        """Let the node beside the target probe it."""
        address = Address.parse(record.node_peers)
        self.links.send(address, TargetFailed(record.target))

    def _record(
        self,
        kind: EventKind,
        record: TargetRecord,
        reason: str,
    ) -> None:
        self.timeline.record(
            kind,
            reason=reason,
            service=record.service,
            subject=record.target,
        )
