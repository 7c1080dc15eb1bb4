"""The soak's stand-in for the platform's store, with its wire format."""

import asyncio
import json
import time
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit

from soak_http import Message, answer_of

_MAX_WAIT_SECONDS = 30.0
_ABSENT = {'Ver': 0}
OPERATORS = 'op'


class StoreCopy(NamedTuple):
    """What the store held at a version."""

    version: int
    rows: dict[tuple[str, str, str], dict[str, Any]]


class SoakStore:
    """Tables with one counter of versions and a feed of changes."""

    def __init__(self) -> None:
        self.rows: dict[tuple[str, str, str], dict[str, Any]] = {}
        self.history: list[dict[str, Any]] = []
        self.version = 0
        self.first_kept = 0
        self.epoch = 1
        self.is_refusing = False
        self.loses_answers = False
        self.changed = asyncio.Condition()

    async def put(self, table: str, key: str, value: str) -> None:
        """Write a row, as operators do."""
        await self._apply([{'Table': table, 'Key': key, 'Value': value}], [])

    async def remove(self, table: str, key: str) -> None:
        """Remove a row, as operators do."""
        await self._apply([], [{'Table': table, 'Key': key}])

    def forget_history(self) -> None:
        """Let feeds begin at the present."""
        self.first_kept = self.version
        self.history.clear()

    def copy(self) -> StoreCopy:
        """Return what the store holds now."""
        return StoreCopy(self.version, dict(self.rows))

    async def restore(self, copy: StoreCopy) -> None:
        """Go back to a copy; what operators wrote since is written again."""
        lost = [
            row
            for place, row in self.rows.items()
            if row['Table'] == OPERATORS and copy.rows.get(place) != row
        ]
        removed = [
            {'Table': table, 'Key': key}
            for table, _part, key in copy.rows.keys() - self.rows.keys()
            if table == OPERATORS
        ]
        self.version = copy.version
        self.rows = dict(copy.rows)
        self.forget_history()
        self.epoch += 1
        await self._apply(lost, removed)

    async def handle(self, request: Message) -> bytes | None:
        """Answer a call."""
        if self.is_refusing:
            return self._answer([], 503)
        url = urlsplit(request.first[1])
        query = dict(parse_qsl(url.query))
        if url.path == '/rows-tx':
            status = await self._commit(json.loads(request.body))
            return None if self.loses_answers else self._answer([], status)
        if url.path == '/rows-get':
            wanted = (query['Table'], query.get('part', ''))
            rows = [
                row
                for (table, part, _key), row in sorted(self.rows.items())
                if (table, part) == wanted
            ]
            return self._answer(rows)
        return await self._feed(query['Table'], int(query['after']), query)

    async def _feed(
        self,
        table: str,
        after: int,
        query: dict[str, str],
    ) -> bytes:
        seconds = min(int(query['WaitMs']) / 1000, _MAX_WAIT_SECONDS)
        try:
            async with asyncio.timeout(seconds), self.changed:
                await self.changed.wait_for(
                    lambda: not self._knows(after) or self._since(table, after)
                )
        except TimeoutError:
            return self._answer([])
        if not self._knows(after):
            return self._answer([], 410)
        return self._answer(self._since(table, after))

    def _knows(self, version: int) -> bool:
        return self.first_kept <= version <= self.version

    def _since(self, table: str, after: int) -> list[dict[str, Any]]:
        return [
            row
            for row in self.history
            if row['Table'] == table and row['Ver'] > after
        ]

    async def _commit(self, body: dict[str, Any]) -> int:
        for wanted in body['Expect']:
            row = self.rows.get(_place(wanted), _ABSENT)
            if row['Ver'] != wanted['Ver']:
                return 412
        await self._apply(body['Upserts'], body['Remove'])
        return 200

    async def _apply(
        self,
        written: list[dict[str, Any]],
        removed: list[dict[str, Any]],
    ) -> None:
        self.version += 1
        for row in written:
            kept = {'part': '', **row, 'Ver': self.version}
            self.rows[_place(row)] = kept
            self.history.append(kept)
        for row in removed:
            self.rows.pop(_place(row), None)
            gone = {'part': '', **row, 'Ver': self.version, 'Tombstone': True}
            self.history.append(gone)
        async with self.changed:
            self.changed.notify_all()

    def _answer(self, rows: list[dict[str, Any]], status: int = 200) -> bytes:
        body = {
            'Rows': rows,
            'Ver': self.version,
            'NowMs': time.monotonic() * 1000,
            'HasMore': False,
        }
        encoded = json.dumps(body).encode()
        return answer_of(status, encoded, store_era=str(self.epoch))


def _place(row: dict[str, Any]) -> tuple[str, str, str]:
    return (row['Table'], row.get('part', ''), row['Key'])
