"""An in-process object store, for tests and the ``trial`` command."""

import trio


class MemoryObjects:
    """Keep objects in a dictionary."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}

    async def put(self, name: str, content: bytes) -> None:
        """Write an object, replacing one of the same name."""
        await trio.lowlevel.checkpoint()
        self.objects[name] = content

    async def get(self, name: str) -> bytes | None:
        """Return an object, or ``None`` where there is none."""
        await trio.lowlevel.checkpoint()
        return self.objects.get(name)

    async def delete(self, name: str) -> None:
        """Remove an object if it exists."""
        await trio.lowlevel.checkpoint()
        self.objects.pop(name, None)
