"""The place of one request's answer on a caller's connection."""

from collections.abc import Callable
from functools import partial
from typing import TYPE_CHECKING

from boragetrestle_sidecar.refusal_answer import refusal_bytes

if TYPE_CHECKING:
    from boragetrestle_sidecar.caller_request import CallerRequest
    from boragetrestle_sidecar.entry_request import EntryRequest
    from boragetrestle_sidecar.outcome import Reason


class PendingAnswer:
    """An answer that is written once those before it have been.

    ``request`` is None once it is over. ``render`` builds the finished answer;
    its argument tells whether the connection stays open. ``on_finished`` is
    called when there is one.
    """

    __slots__ = ('body_bytes', 'on_finished', 'render', 'request', 'sent')

    def __init__(
        self,
        sent: 'CallerRequest',
        on_finished: Callable[[], None],
    ) -> None:
        self.sent = sent
        self.on_finished = on_finished
        self.request: EntryRequest | None = None
        self.render: Callable[[bool], bytes] | None = None
        self.body_bytes = 0

    def write_answer(self, head: bytes, body: bytes) -> None:
        """Finish with an answer; ``head`` lacks the empty line at its end."""
        self.body_bytes = len(body)
        self._finish(partial(_answer_bytes, head, body))

    def write_refusal(
        self,
        reason: 'Reason',
        *,
        retry_after: float = 0.0,
        may_have_run: bool = False,
    ) -> None:
        """Finish with a refusal that this node generates."""
        self._finish(
            lambda keeps_open: refusal_bytes(
                reason,
                retry_after=retry_after,
                may_have_run=may_have_run,
                keeps_open=keeps_open,
                has_body=self.sent.method != b'HEAD',
            )
        )

    def _finish(self, render: Callable[[bool], bytes]) -> None:
        self.request = None
        self.render = render
        self.on_finished()


def _answer_bytes(head: bytes, body: bytes, keeps_open: bool) -> bytes:
    ending = b'' if keeps_open else b'connection: close\r\n'
    return b'%s%s\r\n%s' % (head, ending, body)
