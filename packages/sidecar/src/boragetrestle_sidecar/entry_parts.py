"""The policies and state that an entry works with."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from boragetrestle_sidecar.admission.admission import Admission
    from boragetrestle_sidecar.answer_buffers import AnswerBuffers
    from boragetrestle_sidecar.call_attribution import CallAttribution
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.fleet import Fleet
    from boragetrestle_sidecar.rate_gate import RateGate
    from boragetrestle_sidecar.retry_budget import RetryBudget
    from boragetrestle_sidecar.suspects import Suspects
    from boragetrestle_sidecar.telemetry import Telemetry


@dataclass(frozen=True, slots=True, kw_only=True)
class EntryParts:
    """The policies and state that an entry shares with its node.

    ``own_service`` returns the name of the service on this host.
    ``attribution`` records each onward call (one that a target makes while it
    serves a call). ``rate_gate`` enforces the rate limits of organisations and
    ``retry_budget`` limits retries. ``answers`` bounds the memory of answers.
    ``chance`` is a random number generator.
    """

    fleet: 'Fleet'
    admission: 'Admission'
    rate_gate: 'RateGate'
    retry_budget: 'RetryBudget'
    suspects: 'Suspects'
    log: 'DecisionLog'
    telemetry: 'Telemetry'
    chance: 'random.Random'
    own_service: Callable[[], str]
    attribution: 'CallAttribution'
    answers: 'AnswerBuffers'
