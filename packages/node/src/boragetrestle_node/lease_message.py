"""Messages with which nodes lease slots of a target."""

from typing import Annotated

import msgspec

from boragetrestle_kernel.ids import TargetId
from boragetrestle_kernel.peer_message import peer_message

_MAX_SLOTS = 1_000_000
_MAX_TARGET_ID = 256

_Slots = Annotated[int, msgspec.Meta(ge=0, le=_MAX_SLOTS)]
_Seconds = Annotated[float, msgspec.Meta(ge=0)]
_Target = Annotated[str, msgspec.Meta(max_length=_MAX_TARGET_ID)]


class UseReport(msgspec.Struct, frozen=True, array_like=True):
    """How calls under a lease ended since the last report.

    ``seconds`` is the sum of the times of the answered calls.
    """

    answered: _Slots = 0
    seconds: _Seconds = 0
    shed: _Slots = 0
    timed_out: _Slots = 0


@peer_message('lease-ask')
class LeaseRequest(msgspec.Struct, frozen=True):
    """Request slots from the guard of a target, renew or release them.

    ``held`` is the number of slots that the holder may use until it gets the
    answer, ``busy`` those in which calls run, ``wanted`` those it could use.
    ``address`` receives messages for the holder.
    """

    target: _Target
    address: str
    held: _Slots
    busy: _Slots
    wanted: _Slots
    report: UseReport = UseReport()


@peer_message('lease-grant')
class LeaseGrant(msgspec.Struct, frozen=True):
    """Answer a lease request.

    The holder may use ``slots`` for ``seconds`` after it sent the request. It
    requests more slots after ``pause`` seconds at the earliest.
    """

    slots: _Slots
    seconds: _Seconds
    pause: _Seconds = 0


@peer_message('lease-recall')
class LeaseRecall(msgspec.Struct, frozen=True):
    """Tell a holder to release the slots that it does not use."""

    target: _Target

    @property
    def target_id(self) -> TargetId:
        """The target whose slots are recalled."""
        return TargetId(self.target)
