"""Client of an object store with timeouts, retries and a circuit breaker."""

from boragetrestle_platform.object_store import ObjectStore
from boragetrestle_platform.store_guard import StoreGuard


class GuardedObjects:
    """Run the operations of an object store through a ``StoreGuard``."""

    def __init__(self, objects: ObjectStore, guard: StoreGuard) -> None:
        self.objects = objects
        self.guard = guard

    async def put(self, name: str, content: bytes) -> None:
        """Write an object, replacing one of the same name."""
        await self.guard.write(lambda: self.objects.put(name, content))

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` if it does not exist."""
        return await self.guard.read(lambda: self.objects.get(name))

    async def delete(self, name: str) -> None:
        """Remove an object if it exists."""
        await self.guard.write(lambda: self.objects.delete(name))
