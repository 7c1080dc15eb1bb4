"""Read and change the configuration of a fleet."""

import secrets
import time
from typing import NamedTuple

import msgspec

from boragetrestle_kernel.change import (
    AnyChange,
    Change,
    KeyGiven,
    KeyWithdrawn,
    SecretAdded,
    TextApplied,
)
from boragetrestle_kernel.digest import digest_key, generate_key
from boragetrestle_kernel.errors import ConflictError, StoreError, TextError
from boragetrestle_kernel.fleet_state import FleetState
from boragetrestle_kernel.ids import KeyId, OrgId, Version
from boragetrestle_kernel.member_record import NODE_PREFIX, MemberRecord
from boragetrestle_kernel.service_text import ServiceText
from boragetrestle_kernel.target_record import TargetRecord
from boragetrestle_kernel.text_edit import edit_between
from boragetrestle_platform.change_log import ChangeLog
from boragetrestle_platform.platform import Platform
from boragetrestle_platform.snapshots import Snapshots

_SECRET_BYTES = 32
_KEY_ID_BYTES = 4
_ROWS_PER_PAGE = 1000


class NewKey(NamedTuple):
    """A new key; it is shown only once, to the operator who gives it."""

    key_id: KeyId
    key: str


class Operator:
    """Change and read the configuration on behalf of one operator."""

    def __init__(self, platform: Platform, *, name: str = 'operator') -> None:
        self.platform = platform
        self.name = name
        self.change_log = ChangeLog(platform.table)
        self.snapshots = Snapshots(platform.table, platform.objects)

    async def state(self) -> FleetState:
        """Return the newest accepted configuration."""
        state = FleetState()
        head = await self.change_log.head()
        while state.version < head.version:
            before = state.version
            for change in await self.change_log.read_after(before):
                state.apply(change)
            if state.version == before:
                await self._restore_snapshot(state)
        return state

    async def history(self, *, limit: int) -> list[Change]:
        """Return the newest changes that are kept, oldest first."""
        head = await self.change_log.head()
        changes: list[Change] = []
        reached = Version(max(0, head.version - limit))
        while reached < head.version:
            found = await self.change_log.read_after(reached)
            if not found:
                break
            changes.extend(found)
            reached = found[-1].version
        return changes[-limit:]

    async def apply(
        self,
        text: ServiceText,
        *,
        expected: int | None = None,
    ) -> Version:
        """Put a services text in force.

        Raises ``ConflictError`` if another operator changed the configuration
        first, or if a version is expected and another is in force.
        """
        state = await self.state()
        if expected not in {None, state.version}:
            raise ConflictError(
                f'version {expected} was expected, but {state.version} is in'
                ' force',
                remedy="look at 'boragetrestle diff' and apply again",
            )
        if not state.secrets:
            secret = SecretAdded(1, secrets.token_bytes(_SECRET_BYTES))
            await self.append(secret, state.version)
            state = await self.state()
        edit = edit_between(state.text, text) if state.text.services else None
        return await self.append(edit or TextApplied(text), state.version)

    async def give_key(self, organisation: str) -> NewKey:
        """Give a new key to an organisation and return it."""
        state = await self.state()
        if organisation not in state.organisations:
            raise TextError(
                f'the text in force has no organisation {organisation!r}',
                remedy='add it to the services text and apply that first',
            )
        key = generate_key()
        key_id = KeyId(secrets.token_hex(_KEY_ID_BYTES))
        change = KeyGiven(key_id, digest_key(key), OrgId(organisation))
        await self.append(change, state.version)
        return NewKey(key_id, key)

    async def withdraw_key(self, key_id: str) -> Version:
        """Withdraw a key by its id."""
        state = await self.state()
        known = {record.key_id for record in state.keys.values()}
        if key_id not in known:
            raise TextError(
                f'no key in force has the id {key_id!r}',
                remedy="list the keys with 'boragetrestle key list'",
            )
        change = KeyWithdrawn(KeyId(key_id))
        return await self.append(change, state.version)

    async def targets(self) -> list[TargetRecord]:
        """Return the records of all targets in the table."""
        return [
            target
            for member in await self.members()
            for target in member.targets
        ]

    async def members(self) -> list[MemberRecord]:
        """Return the records of all nodes in the table, page by page."""
        members: list[MemberRecord] = []
        after = ''
        while True:
            found = await self.platform.table.scan(
                NODE_PREFIX,
                after=after,
                limit=_ROWS_PER_PAGE,
            )
            members.extend(
                msgspec.json.decode(row.content, type=MemberRecord)
                for row in found.rows
            )
            if len(found.rows) < _ROWS_PER_PAGE:
                return members
            after = found.rows[-1].key

    async def append(self, change: AnyChange, expected: Version) -> Version:
        """Append a change; raise ``ConflictError`` at another version."""
        return await self.change_log.append(
            change,
            expected=expected,
            author=self.name,
            made_at=time.time(),
        )

    async def _restore_snapshot(self, state: FleetState) -> None:
        snapshot = await self.snapshots.read_newest()
        if snapshot is None or not state.restore(snapshot).is_applied:
            raise StoreError(
                f'the changes after version {state.version} are missing',
                remedy='try again; a snapshot is being written',
            )
