"""Find out whether an address accepts connections."""

import trio

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import DialError
from boragetrestle_kernel.network import Network

DIAL_SECONDS = 0.5


async def accepts(network: Network, address: Address) -> bool:
    """Open a connection and close it; return whether that went well in time."""
    with trio.move_on_after(DIAL_SECONDS):
        try:
            stream = await network.dial(address)
        except DialError:
            return False
        await trio.aclose_forcefully(stream)
        return True
    return False
