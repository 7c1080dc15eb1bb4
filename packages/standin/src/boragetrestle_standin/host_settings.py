"""Settings of the nodes of a stand-in fleet."""

import os

from boragetrestle_kernel.settings import (
    Credential,
    Listen,
    NodeSettings,
    PlatformSettings,
)
from boragetrestle_standin.host_addresses import (
    MEMORY_OCTET,
    HostAddresses,
    host_ip,
)
from boragetrestle_standin.host_plan import HostPlan

SECRET_VARIABLE = 'BORAGETRESTLE_FLEET_SECRET'
EMBEDDED = PlatformSettings(adapter='embedded')

_STANDIN_SECRET = 'stand-in fleet secret'


def host_settings(
    place: int,
    plan: HostPlan,
    *,
    platform: PlatformSettings = EMBEDDED,
    peers: tuple[str, ...] = (),
    octet: int = MEMORY_OCTET,
) -> NodeSettings:
    """Return the settings of the node on a host.

    The fleet secret is set in the environment unless it is there already.
    """
    os.environ.setdefault(SECRET_VARIABLE, _STANDIN_SECRET)
    at = HostAddresses.of_host(host_ip(place, octet=octet))
    return NodeSettings(
        node=f'node-{place}',
        domain=plan.domain,
        region=plan.region,
        listen=Listen(
            calls=str(at.calls),
            peers=str(at.peers),
            admin=str(at.admin),
        ),
        platform=platform,
        fleet_secrets=(Credential(env=SECRET_VARIABLE),),
        peers=peers,
    )
