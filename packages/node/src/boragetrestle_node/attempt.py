"""How one attempt to forward a call ended."""

from enum import Enum
from typing import NamedTuple

from boragetrestle_kernel.http_fields import Fields
from boragetrestle_kernel.refusal import Refusal, RefusalCode, RunState


class Attempt(Enum):
    """How one attempt to forward a call ended.

    ``REFUSED`` is a refusal by the guard of a target, or by the target itself
    as a shed call that was not run; nothing has gone to the caller then.
    ``TAKEN_BACK`` is an answer that was kept from the caller for a retry.
    """

    ANSWERED = 'answered'
    NOT_SENT = 'not-sent'
    NO_ANSWER = 'no-answer'
    CUT = 'cut'
    REFUSED = 'refused'
    TAKEN_BACK = 'taken-back'


_BROKEN = frozenset((Attempt.NO_ANSWER, Attempt.CUT))


class Forwarded(NamedTuple):
    """The end of an attempt with what the other side told.

    ``refusal`` is set if the attempt was refused. ``status`` and ``fields`` are
    those received, before internal fields are stripped; ``fields`` can be
    trusted only if the guard of a target sent them.
    """

    attempt: Attempt
    refusal: Refusal | None = None
    status: int = 0
    fields: Fields | None = None

    @property
    def may_have_run(self) -> bool:
        """Whether a target may have run the call in this attempt."""
        if self.refusal is not None:
            return self.refusal.run_state is not RunState.NOT_RUN
        return self.attempt is not Attempt.NOT_SENT

    @property
    def is_broken(self) -> bool:
        """Whether the connection broke while the target had the call."""
        if self.refusal is not None:
            is_failed = self.refusal.code is RefusalCode.TARGET_FAILED
            return is_failed and self.may_have_run
        return self.attempt in _BROKEN

    @property
    def is_shed(self) -> bool:
        """Whether the target shed the call."""
        return self.status == _SHED_STATUS


_SHED_STATUS = 503
