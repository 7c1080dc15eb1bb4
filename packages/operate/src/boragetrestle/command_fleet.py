"""Commands that list nodes and drain their targets."""

from typing import NamedTuple

from boragetrestle.commands import command
from boragetrestle.exit_code import ExitCode
from boragetrestle.output import print_json, print_line, print_table
from boragetrestle.session import Session, run_session
from boragetrestle_kernel.acks import Acks
from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import TextError
from boragetrestle_kernel.member_record import MemberRecord

_COLUMNS = ('node', 'domain', 'target', 'service', 'state', 'configuration')


class _FleetStatus(NamedTuple):
    members: list[MemberRecord]
    acks: Acks | None


@command('status')
def status(*, json: bool = False) -> int:
    """List nodes, their targets and whether they have the newest version.

    Example: boragetrestle status

    :param json: print JSON
    """

    async def work(session: Session) -> _FleetStatus:
        state = await session.operator.state()
        members = await session.operator.members()
        acks = await session.ack_client.fetch_acks_from_any(
            members, state.version
        )
        return _FleetStatus(members, acks)

    found = run_session(work)
    rows = [
        (
            member.node,
            member.domain,
            target.target,
            target.service,
            target.state.value,
            _configuration_label(member, found.acks),
        )
        for member in found.members
        for target in member.targets
    ]
    if json:
        print_json([dict(zip(_COLUMNS, row, strict=True)) for row in rows])
    else:
        print_table('targets', _COLUMNS, rows)
    if found.acks is None:
        return ExitCode.UNREACHABLE if rows else ExitCode.DONE
    return ExitCode.DONE if found.acks.is_complete else ExitCode.NOT_EVERYWHERE


@command('drain')
def drain(node: str) -> None:
    """Let the target beside a node finish its calls and take no new ones.

    Example: boragetrestle drain node-7

    :param node: name of the node, as in its settings
    """

    async def work(session: Session) -> None:
        address = await _find_admin_address(session, node)
        await session.admin.send_request(address, b'POST', b'/v1/drain')

    run_session(work)
    print_line(f'{node} is draining; new calls go to other targets within 2 s')


async def _find_admin_address(session: Session, node: str) -> Address:
    for member in await session.operator.members():
        if member.node == node and member.targets:
            return Address.parse(member.targets[0].node_admin)
    raise TextError(
        f'no node named {node!r} has a target',
        remedy="list the nodes with 'boragetrestle status'",
    )


def _configuration_label(member: MemberRecord, acks: Acks | None) -> str:
    if acks is None or member.node in acks.unheard:
        return 'unheard'
    return 'behind' if member.node in acks.behind else 'newest'
