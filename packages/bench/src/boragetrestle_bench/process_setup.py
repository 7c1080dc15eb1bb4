"""Put a text and a key in force on a fleet of processes."""

import boragetrestle_platform.http_platform  # noqa: F401
from boragetrestle_bench.process_fleet import ProcessFleet
from boragetrestle_kernel.change import (
    AnyChange,
    KeyGiven,
    SecretAdded,
    TextApplied,
)
from boragetrestle_kernel.digest import digest_key
from boragetrestle_kernel.ids import KeyId, OrgId, Version
from boragetrestle_kernel.service_text import ServiceText
from boragetrestle_platform.change_log import ChangeLog
from boragetrestle_platform.platform import connect_platform

BENCH_KEY = 'benchmark'

_CONTEXT_SECRET = b'benchmark context secret'


async def configure_processes(
    fleet: ProcessFleet,
    text: ServiceText,
) -> None:
    """Apply a text and give ``BENCH_KEY`` to its first organisation."""
    platform = connect_platform(fleet.platform_settings, fleet.network)
    log = ChangeLog(platform.table)
    name = text.organisations[0].name
    changes: tuple[AnyChange, ...] = (
        SecretAdded(1, _CONTEXT_SECRET),
        TextApplied(text),
        KeyGiven(KeyId(name), digest_key(BENCH_KEY), OrgId(name)),
    )
    for version, change in enumerate(changes):
        await log.append(change, expected=Version(version))
