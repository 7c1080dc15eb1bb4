"""Connect to the platform through one of the registered adapters."""

from collections.abc import Callable
from typing import NamedTuple

from boragetrestle_kernel.errors import SettingsError
from boragetrestle_kernel.network import Network
from boragetrestle_kernel.settings import PlatformSettings
from boragetrestle_platform.memory_objects import MemoryObjects
from boragetrestle_platform.memory_table import MemoryTable
from boragetrestle_platform.object_store import ObjectStore
from boragetrestle_platform.table import Table


class Platform(NamedTuple):
    """Clients of the table service and the object store."""

    table: Table
    objects: ObjectStore


Adapter = Callable[[PlatformSettings, Network], Platform]
ADAPTERS: dict[str, Adapter] = {}


def adapter(name: str) -> Callable[[Adapter], Adapter]:
    """Register a function that connects to the platform, by name."""

    def register(build: Adapter) -> Adapter:
        ADAPTERS[name] = build
        return build

    return register


def connect_platform(settings: PlatformSettings, network: Network) -> Platform:
    """Create the platform's clients with the adapter in the settings."""
    build = ADAPTERS.get(settings.adapter)
    if build is None:
        known = ', '.join(sorted(ADAPTERS))
        raise SettingsError(
            f'$.platform.adapter is {settings.adapter!r}',
            remedy=f'use one of: {known}',
        )
    return build(settings, network)


@adapter('embedded')
def _embedded(_settings: PlatformSettings, _network: Network) -> Platform:
    return Platform(table=MemoryTable(), objects=MemoryObjects())
