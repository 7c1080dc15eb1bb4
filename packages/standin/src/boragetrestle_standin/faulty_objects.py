"""An object store with fault injection."""

import trio

from boragetrestle_kernel.errors import StoreError
from boragetrestle_platform.object_store import ObjectStore
from boragetrestle_standin.faults import StoreFaults

_TIMEOUT_SECONDS = 2.0


class FaultyObjects:
    """Forward calls to an object store unless a fault is set."""

    def __init__(self, objects: ObjectStore, faults: StoreFaults) -> None:
        self.objects = objects
        self.faults = faults

    async def put(self, name: str, content: bytes) -> None:
        """Write an object, replacing one of the same name."""
        await self._inject_faults()
        await self.objects.put(name, content)
        if self.faults.lost_puts:
            self.faults.lost_puts -= 1
            raise StoreError('the answer was lost')

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` where there is none."""
        await self._inject_faults()
        return await self.objects.get(name)

    async def delete(self, name: str) -> None:
        """Remove an object if it exists."""
        await self._inject_faults()
        await self.objects.delete(name)

    async def _inject_faults(self) -> None:
        if self.faults.is_down:
            await trio.sleep(_TIMEOUT_SECONDS)
            raise StoreError('the object store is down')
        await trio.sleep(self.faults.delay)
