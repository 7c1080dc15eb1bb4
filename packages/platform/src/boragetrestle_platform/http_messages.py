"""Paths and JSON request bodies of the platform's HTTP interface."""

import msgspec

READ_PATH = b'/table/read'
SCAN_PATH = b'/table/scan'
COMMIT_PATH = b'/table/commit'
OBJECT_PATH = b'/objects/'


class ReadBody(msgspec.Struct, frozen=True):
    """Request rows by key."""

    keys: tuple[str, ...]


class ScanBody(msgspec.Struct, frozen=True):
    """Request up to ``limit`` rows by prefix, after a key."""

    prefix: str
    after: str = ''
    limit: int = 1000
