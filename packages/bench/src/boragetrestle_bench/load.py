"""Open-loop load on a fleet, on the virtual clock."""

import random
from collections.abc import Mapping, Sequence

import trio

from boragetrestle_bench.demand import Demand
from boragetrestle_bench.outcome import Outcome
from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import DialError, HttpError
from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_kernel.http_fields import Fields, find_field
from boragetrestle_node.connection_pool import ConnectionPool
from boragetrestle_standin.fleet import Fleet

_CLIENT_DELAY_SECONDS = 0.003
_ARRIVAL_JITTER = 0.5


class Load:
    """Send demand to the nodes of a fleet and keep the outcomes.

    Arrivals are evenly spaced with a random shift of up to half a space, so
    that short windows have little noise. Nodes are chosen at random.
    """

    def __init__(
        self,
        fleet: Fleet,
        *,
        keys: Mapping[str, str],
        seed: int,
    ) -> None:
        self.fleet = fleet
        self.keys = keys
        self.rng = random.Random(seed)
        self.pool = ConnectionPool(fleet.network)
        self.outcomes: list[Outcome] = []

    async def run(self, demands: Sequence[Demand]) -> list[Outcome]:
        """Send all demand and return the outcomes once every call ended."""
        async with trio.open_nursery() as nursery:
            for demand in demands:
                nursery.start_soon(self._send, demand, nursery)
        return self.outcomes

    async def _send(self, demand: Demand, nursery: trio.Nursery) -> None:
        origin = trio.current_time()
        count = int((demand.stop - demand.start) * demand.rate)
        for place in range(count):
            shift = self.rng.uniform(-_ARRIVAL_JITTER, _ARRIVAL_JITTER)
            due = max(0, place + shift) / demand.rate
            await trio.sleep_until(origin + demand.start + due)
            nursery.start_soon(self._call, demand)

    async def _call(self, demand: Demand) -> None:
        for _ in range(demand.retries + 1):
            outcome = await self._attempt(demand)
            self.outcomes.append(outcome)
            if outcome.is_good:
                return

    async def _attempt(self, demand: Demand) -> Outcome:
        sent_at = trio.current_time()
        host = self.rng.choice(self.fleet.hosts)
        status, fields = 0, Fields()
        try:
            status, fields = await self._exchange(host.calls_address, demand)
        except (DialError, HttpError):
            status = 0
        return Outcome(
            demand=demand,
            sent_at=sent_at,
            ended_at=trio.current_time(),
            status=status,
            code=find_field(fields, b'boragetrestle-code').decode(),
            call_id=find_field(fields, b'boragetrestle-call').decode(),
        )

    async def _exchange(
        self,
        address: Address,
        demand: Demand,
    ) -> tuple[int, Fields]:
        await trio.sleep(_CLIENT_DELAY_SECONDS)
        connection = await self.pool.acquire(address)
        try:
            answer = await self._request(connection, address, demand)
        except BaseException:
            await self.pool.discard(connection)
            raise
        if not self.pool.keep(address, connection):
            await self.pool.discard(connection)
        await trio.sleep(_CLIENT_DELAY_SECONDS)
        return answer

    async def _request(
        self,
        connection: HttpClientConnection,
        address: Address,
        demand: Demand,
    ) -> tuple[int, Fields]:
        key = self.keys[demand.organisation]
        response = await connection.request(
            demand.method.encode(),
            demand.path.encode(),
            [
                (b'host', str(address).encode()),
                (b'authorization', f'Bearer {key}'.encode()),
            ],
        )
        await response.read()
        return response.status, response.fields
