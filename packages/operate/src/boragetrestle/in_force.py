"""Ask nodes whether a configuration version is in force everywhere."""

import random
from typing import NamedTuple

import msgspec
import trio

from boragetrestle.operator import Operator
from boragetrestle_kernel.acks import ACKS_PATH, Acks, AcksRequest
from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import DialError, HttpError
from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_kernel.ids import Version
from boragetrestle_kernel.member_record import MemberRecord
from boragetrestle_kernel.network import Network

IN_FORCE_SECONDS = 10.0

_POLL_SECONDS = 0.3
_REQUEST_TIMEOUT_SECONDS = 4.0
_HEDGE_DELAY_SECONDS = 0.7
_ANSWER_POLL_SECONDS = 0.02


class AckClient(NamedTuple):
    """Asks the nodes of a fleet which of them have a version.

    Any node answers for the whole fleet, so one answer is enough.
    """

    operator: Operator
    network: Network

    async def wait_until_in_force(
        self,
        version: Version,
        *,
        timeout: float = IN_FORCE_SECONDS,
    ) -> Acks:
        """Wait until a version is in force on every live node.

        Once the timeout in seconds has passed, returns the last answer,
        complete or not. If no node answers, all nodes of the table count as
        unheard. Raises ``StoreError`` if the table gives no nodes.
        """
        members = await self.operator.members()
        acks = Acks(
            version=version,
            reached=0,
            unheard=tuple(sorted(member.node for member in members)),
        )
        with trio.move_on_after(timeout):
            while not acks.is_complete:
                acks = await self.fetch_acks_from_any(members, version) or acks
                if not acks.is_complete:
                    await trio.sleep(_POLL_SECONDS)
        return acks

    async def fetch_acks_from_any(
        self,
        members: list[MemberRecord],
        version: Version,
    ) -> Acks | None:
        """Return the first answer that a node gives.

        If no answer comes within a hedging delay, another node is asked as
        well, so that a frozen node does not use up the time.
        """
        answers: list[Acks] = []
        async with trio.open_nursery() as nursery:
            for address in _admin_addresses(members):
                nursery.start_soon(
                    self._collect_acks, address, version, answers
                )
                with trio.move_on_after(_HEDGE_DELAY_SECONDS):
                    await _wait_for_answer(answers)
                if answers:
                    break
            if not answers:
                with trio.move_on_after(_REQUEST_TIMEOUT_SECONDS):
                    await _wait_for_answer(answers)
            nursery.cancel_scope.cancel()
        return answers[0] if answers else None

    async def fetch_acks(
        self, address: Address, version: Version
    ) -> Acks | None:
        """Ask the node with an admin address; ``None`` without an answer."""
        with trio.move_on_after(_REQUEST_TIMEOUT_SECONDS):
            try:
                return await self._request_acks(address, version)
            except (DialError, HttpError, msgspec.DecodeError):
                return None
        return None

    async def _collect_acks(
        self,
        address: Address,
        version: Version,
        answers: list[Acks],
    ) -> None:
        acks = await self.fetch_acks(address, version)
        if acks is not None:
            answers.append(acks)

    async def _request_acks(self, address: Address, version: Version) -> Acks:
        stream = await self.network.dial(address)
        async with HttpClientConnection(stream) as connection:
            response = await connection.request(
                b'POST',
                ACKS_PATH.encode(),
                [(b'host', str(address).encode())],
                msgspec.json.encode(AcksRequest(version)),
            )
            return msgspec.json.decode(await response.read(), type=Acks)


def _admin_addresses(members: list[MemberRecord]) -> list[Address]:
    """Return an admin address of each member, in random order."""
    return [
        Address.parse(target.node_admin)
        for member in random.sample(members, k=len(members))
        for target in member.targets[:1]
    ]


async def _wait_for_answer(answers: list[Acks]) -> None:
    while not answers:
        await trio.sleep(_ANSWER_POLL_SECONDS)
