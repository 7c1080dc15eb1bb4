"""The command that rotates the secret of the fleet."""

from boragetrestle.commands import command
from boragetrestle.report_acks import report_acks
from boragetrestle.secret_rotation import Rotation, rotate_secret
from boragetrestle.session import Session, run_session


@command('secret', 'rotate')
def rotate(*, wait: float = 10, json: bool = False) -> int:
    """Replace the secret that signs the contexts of calls.

    The command runs some seconds longer than the longest deadline in the
    services text. No call is refused meanwhile. If a live node does not
    confirm the new secret, the older ones stay accepted.

    Example: boragetrestle secret rotate

    :param wait: seconds to wait for acknowledgements
    :param json: print JSON
    """

    async def work(session: Session) -> Rotation:
        return await rotate_secret(
            session.operator,
            session.ack_client,
            timeout=wait,
        )

    return report_acks(run_session(work).acks, json=json)
