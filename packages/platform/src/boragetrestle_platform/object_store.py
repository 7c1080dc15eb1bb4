"""Interface of the platform's object store."""

from typing import Protocol


class ObjectStore(Protocol):
    """Named objects; methods raise ``StoreError`` if no answer comes."""

    async def put(self, name: str, content: bytes) -> None:
        """Write an object, replacing one of the same name."""

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` if it does not exist."""

    async def delete(self, name: str) -> None:
        """Remove an object if it exists."""
