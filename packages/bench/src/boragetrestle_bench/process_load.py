"""Load on real processes, where every call has a path of its own."""

import itertools
import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

import trio

from boragetrestle_bench.process_fleet import ProcessFleet
from boragetrestle_bench.process_setup import BENCH_KEY
from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import DialError, HttpError
from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_kernel.http_fields import find_field
from boragetrestle_standin.target import PATH_FIELD

_CUT = 'cut'
_UNREACHED = 'unreached'


class CallRecord(NamedTuple):
    """One call; ``code`` is empty for a whole answer of a target.

    ``ran_path`` is the path that the answering target says it ran.
    """

    path: str
    code: str
    run_state: str
    ran_path: str

    @property
    def is_cut(self) -> bool:
        """Whether the caller was connected and got no whole answer."""
        return self.code == _CUT


class ProcessLoad:
    """Make paced calls at the nodes of a fleet."""

    def __init__(self, fleet: ProcessFleet, *, seed: int) -> None:
        self.fleet = fleet
        self.rng = random.Random(seed)
        self.numbers = itertools.count(1)
        self.records: list[CallRecord] = []

    async def run(
        self,
        *,
        method: str,
        prefix: str,
        rate: float,
        seconds: float,
        entries: Callable[[], Sequence[Address]],
    ) -> None:
        """Make calls at a rate, each at a random one of the entries."""
        async with trio.open_nursery() as nursery:
            for _ in range(int(rate * seconds)):
                entry = self.rng.choice(entries())
                path = f'{prefix}/{next(self.numbers)}'
                nursery.start_soon(self._call, entry, method, path)
                await trio.sleep(1 / rate)

    async def _call(self, entry: Address, method: str, path: str) -> None:
        try:
            stream = await self.fleet.network.dial(entry)
        except DialError:
            self.records.append(CallRecord(path, _UNREACHED, '', ''))
            return
        async with HttpClientConnection(stream) as connection:
            self.records.append(
                await self._exchange(connection, entry, method, path),
            )

    async def _exchange(
        self,
        connection: HttpClientConnection,
        entry: Address,
        method: str,
        path: str,
    ) -> CallRecord:
        fields = [
            (b'host', str(entry).encode()),
            (b'authorization', f'Bearer {BENCH_KEY}'.encode()),
        ]
        try:
            response = await connection.request(
                method.encode(),
                path.encode(),
                fields,
            )
            await response.read()
        except HttpError:
            return CallRecord(path, _CUT, '', '')
        answered = response.fields
        return CallRecord(
            path=path,
            code=find_field(answered, b'boragetrestle-code').decode(),
            run_state=find_field(answered, b'boragetrestle-run').decode(),
            ran_path=find_field(answered, PATH_FIELD).decode(),
        )
