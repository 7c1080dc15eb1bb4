"""A node's copy of the configuration, built from changes in order."""

from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec

from boragetrestle_kernel.change import (
    Change,
    KeyGiven,
    KeyWithdrawn,
    SecretAdded,
    SecretRetired,
    TextApplied,
    TextEdited,
)
from boragetrestle_kernel.ids import Digest, KeyId, OrgId, Version
from boragetrestle_kernel.route_table import RouteTable
from boragetrestle_kernel.service_text import (
    Organisation,
    Service,
    ServiceText,
)
from boragetrestle_kernel.text_edit import apply_edit


class KeyRecord(msgspec.Struct, frozen=True):
    """A valid caller key, stored as a digest only."""

    key_id: KeyId
    digest: Digest
    organisation: OrgId


class Snapshot(msgspec.Struct, frozen=True):
    """The whole configuration at one version."""

    version: Version
    text: ServiceText
    keys: tuple[KeyRecord, ...] = ()
    secrets: dict[int, bytes] = {}


class ApplyResult(NamedTuple):
    """Whether a change or snapshot was applied, and the version after it."""

    is_applied: bool
    version: Version


_Applier = Callable[['FleetState', Any], None]
_APPLIERS: dict[type, _Applier] = {}


def _register_applier(kind: type) -> Callable[[_Applier], _Applier]:
    def register(applier: _Applier) -> _Applier:
        _APPLIERS[kind] = applier
        return applier

    return register


class FleetState:
    """Hold the configuration in force; its version never decreases."""

    def __init__(self) -> None:
        self.version = Version(0)
        self.text = ServiceText()
        self.routes = RouteTable({})
        self.services: dict[str, Service] = {}
        self.organisations: dict[str, Organisation] = {}
        self.keys: dict[Digest, KeyRecord] = {}
        self.secrets: dict[int, bytes] = {}

    def apply(self, change: Change) -> ApplyResult:
        """Apply a change if it has the next version, else ignore it."""
        if change.version != self.version + 1:
            return ApplyResult(is_applied=False, version=self.version)
        _APPLIERS[type(change.change)](self, change.change)
        self.version = change.version
        return ApplyResult(is_applied=True, version=self.version)

    def restore(self, snapshot: Snapshot) -> ApplyResult:
        """Apply a snapshot if it is newer than the version in force."""
        if snapshot.version <= self.version:
            return ApplyResult(is_applied=False, version=self.version)
        self.replace_text(snapshot.text)
        self.keys = {record.digest: record for record in snapshot.keys}
        self.secrets = dict(snapshot.secrets)
        self.version = snapshot.version
        return ApplyResult(is_applied=True, version=self.version)

    def snapshot(self) -> Snapshot:
        """Return the whole configuration in force."""
        return Snapshot(
            version=self.version,
            text=self.text,
            keys=tuple(self.keys.values()),
            secrets=dict(self.secrets),
        )

    def replace_text(self, text: ServiceText) -> None:
        """Replace the services text and compile its routes."""
        self.text = text
        self.routes = RouteTable.compile(text.services)
        self.services = {srv.name: srv for srv in text.services}
        self.organisations = {org.name: org for org in text.organisations}


@_register_applier(TextApplied)
def _apply_text(state: FleetState, change: TextApplied) -> None:
    state.replace_text(change.text)


@_register_applier(TextEdited)
def _apply_edit(state: FleetState, change: TextEdited) -> None:
    state.replace_text(apply_edit(state.text, change))


@_register_applier(KeyGiven)
def _apply_key_given(state: FleetState, change: KeyGiven) -> None:
    state.keys[change.digest] = KeyRecord(
        key_id=change.key_id,
        digest=change.digest,
        organisation=change.organisation,
    )


@_register_applier(KeyWithdrawn)
def _apply_key_withdrawn(state: FleetState, change: KeyWithdrawn) -> None:
    state.keys = {
        digest: record
        for digest, record in state.keys.items()
        if record.key_id != change.key_id
    }


@_register_applier(SecretAdded)
def _apply_secret_added(state: FleetState, change: SecretAdded) -> None:
    state.secrets[change.number] = change.secret


@_register_applier(SecretRetired)
def _apply_secret_retired(state: FleetState, change: SecretRetired) -> None:
    state.secrets.pop(change.number, None)
