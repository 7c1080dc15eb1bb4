"""Send requests to the admin addresses of nodes."""

from http import HTTPStatus
from typing import NamedTuple

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import HttpError, SettingsError
from boragetrestle_kernel.http_client import HttpClientConnection
from boragetrestle_kernel.network import Network


class NodeAdmin(NamedTuple):
    """Sends requests to nodes with the credential of operators."""

    network: Network
    credential: bytes

    async def send_request(
        self,
        address: Address,
        method: bytes,
        path: bytes,
        body: bytes = b'',
    ) -> bytes:
        """Return the answer of a node.

        Raises ``DialError`` or ``HttpError`` without one, and ``SettingsError``
        if the node does not accept the credential.
        """
        stream = await self.network.dial(address)
        fields = [(b'host', str(address).encode())]
        if self.credential:
            fields.append((b'authorization', b'Bearer %s' % self.credential))
        async with HttpClientConnection(stream) as connection:
            response = await connection.request(method, path, fields, body)
            answer = await response.read()
        if response.status == HTTPStatus.FORBIDDEN:
            raise SettingsError(
                f'the node at {address} refuses the credential of this operator',
                remedy='set operator_credential as in the settings of the nodes',
            )
        if response.status != HTTPStatus.OK:
            raise HttpError(
                f'the node at {address} answered with status {response.status}'
            )
        return answer
