"""An object store behind a guard."""

from boragetrestle_platform.object_store import ObjectStore
from boragetrestle_platform.store_guard import StoreGuard


class GuardedObjects:
    """Pass operations on to an object store."""

    def __init__(self, objects: ObjectStore, guard: StoreGuard) -> None:
        self.objects = objects
        self.guard = guard

    async def put(self, name: str, content: bytes) -> None:
        """Write an object, replacing one of the same name."""
        await self.guard.write(lambda: self.objects.put(name, content))

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` where there is none."""
        return await self.guard.read(lambda: self.objects.get(name))

    async def delete(self, name: str) -> None:
        """Remove an object if it exists."""
        await self.guard.write(lambda: self.objects.delete(name))
