"""Both services of the platform, and the registry of their adapters."""

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
    """The table service and the object store."""

    table: Table
    objects: ObjectStore


Adapter = Callable[[PlatformSettings, Network], Platform]
ADAPTERS: dict[str, Adapter] = {}


def adapter(name: str) -> Callable[[Adapter], Adapter]:
    """Register a way to reach the platform under a name."""

    def register(build: Adapter) -> Adapter:
        ADAPTERS[name] = build
        return build

    return register


def connect_platform(settings: PlatformSettings, network: Network) -> Platform:
    """Return clients by the adapter that the settings name."""
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
