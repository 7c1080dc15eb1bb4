"""The object store, as the project uses it."""

from typing import Protocol


class ObjectStore(Protocol):
    """Named objects; methods raise ``StoreError`` without an answer."""

    async def put(self, name: str, content: bytes) -> None:
        """Write an object, replacing one of the same name."""

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` where there is none."""

    async def delete(self, name: str) -> None:
        """Remove an object if it exists."""
