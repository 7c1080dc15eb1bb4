"""Learn about targets from the attempts of this node's calls."""

from collections.abc import Generator
from contextlib import contextmanager
from dataclasses import dataclass
from http import HTTPStatus

import trio

from boragetrestle_kernel.refusal import RefusalCode
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_node.attempt import Attempt, Forwarded
from boragetrestle_node.call import Call
from boragetrestle_node.directory import Directory
from boragetrestle_node.ejector import Ejector
from boragetrestle_node.target_book import TargetBook
from boragetrestle_node.target_view import TargetView

_BROKEN = frozenset((Attempt.NOT_SENT, Attempt.NO_ANSWER, Attempt.CUT))


@dataclass(slots=True)
class WatchedAttempt:
    """An attempt under way; ``forwarded`` tells its end."""

    view: TargetView
    started_at: float
    forwarded: Forwarded = Forwarded(Attempt.NOT_SENT)
    is_ended: bool = False

    def head(self) -> None:
        """Take the time to the head of the answer."""
        now = trio.current_time()
        self.view.add_latency(now - self.started_at, now=now)


class TargetWatch:
    """Feed the book and the ejector with the ends of attempts."""

    def __init__(
        self,
        book: TargetBook,
        ejector: Ejector,
        directory: Directory,
    ) -> None:
        self.book = book
        self.ejector = ejector
        self.directory = directory

    @contextmanager
    def attempt(
        self,
        call: Call,
        target: TargetRecord,
    ) -> Generator[WatchedAttempt, None, None]:
        """Watch one attempt; one that outlasts the deadline is an error."""
        self.book.start(target.target)
        view = self.book.view(target.target)
        attempt = WatchedAttempt(view, trio.current_time())
        try:
            yield attempt
            attempt.is_ended = True
        finally:
            self.book.end(target.target)
            if attempt.is_ended or call.remaining <= 0:
                self._learn(target, attempt)

    def _learn(self, target: TargetRecord, attempt: WatchedAttempt) -> None:
        peers = self.directory.ready(target.service)
        forwarded = attempt.forwarded
        if not attempt.is_ended:
            attempt.head()
            self.ejector.answered(target, peers, is_error=True)
        elif forwarded.attempt in _BROKEN:
            self.ejector.failed(target, peers)
        elif forwarded.attempt is Attempt.REFUSED:
            self._learn_refusal(target, attempt)
        else:
            is_error = _is_error(forwarded.status)
            self.ejector.answered(target, peers, is_error=is_error)

    def _learn_refusal(
        self,
        target: TargetRecord,
        attempt: WatchedAttempt,
    ) -> None:
        refusal = attempt.forwarded.refusal
        assert refusal is not None
        if refusal.code is RefusalCode.TARGET_FAILED:
            peers = self.directory.ready(target.service)
            self.ejector.failed(target, peers)
        elif refusal.code is RefusalCode.OVERLOADED:
            attempt.view.add_refusal(now=trio.current_time())


def _is_error(status: int) -> bool:
    """Return whether an answer counts against its target.

    A target that sheds is busy, not broken, so 503 counts for it.
    """
    is_shed = status == HTTPStatus.SERVICE_UNAVAILABLE
    return status >= HTTPStatus.INTERNAL_SERVER_ERROR and not is_shed
