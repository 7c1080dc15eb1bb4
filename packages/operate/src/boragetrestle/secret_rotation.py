"""Rotate the secret that signs call contexts."""

import secrets
from typing import NamedTuple

import trio

from boragetrestle.in_force import IN_FORCE_SECONDS, AckClient
from boragetrestle.operator import Operator
from boragetrestle_kernel.acks import Acks
from boragetrestle_kernel.change import SecretAdded, SecretRetired
from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.ids import Version

_SECRET_BYTES = 32
_SIGNING_SWITCH_SECONDS = 10.0
_SKEW_SECONDS = 10.0


class Rotation(NamedTuple):
    """How a rotation ended.

    ``retired`` is 0 if the old secrets stay accepted, because the nodes that
    ``acks`` names have not confirmed the new one.
    """

    added: Version
    acks: Acks
    retired: Version


async def rotate_secret(
    operator: Operator,
    ack_client: AckClient,
    *,
    timeout: float = IN_FORCE_SECONDS,
) -> Rotation:
    """Add a secret, wait until it alone signs, and retire the older ones.

    All live nodes have to confirm the secret within the timeout in seconds.
    The wait is the longest deadline of the text with a margin. Raises
    ``ConflictError`` if another operator changes the configuration meanwhile;
    both secrets are accepted then, and the rotation may be run again.
    """
    state = await operator.state()
    number = max(state.secrets, default=0) + 1
    secret = SecretAdded(number, secrets.token_bytes(_SECRET_BYTES))
    added = await operator.append(secret, state.version)
    acks = await ack_client.wait_until_in_force(added, timeout=timeout)
    if not acks.is_complete:
        return Rotation(added, acks, Version(0))
    await trio.sleep(_SIGNING_SWITCH_SECONDS + _longest_deadline(state))
    retired = added
    for old in sorted(state.secrets):
        head = (await operator.state()).version
        retired = await operator.append(SecretRetired(old), head)
    return Rotation(added, acks, retired)


def _longest_deadline(state: FleetState) -> float:
    deadlines = [
        route.deadline
        for service in state.text.services
        for route in service.routes
    ]
    return max(deadlines, default=0.0) + _SKEW_SECONDS
