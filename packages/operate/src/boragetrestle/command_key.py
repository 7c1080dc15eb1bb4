"""Commands that give, withdraw and list the keys of callers."""

from boragetrestle.commands import command
from boragetrestle.operator import NewKey
from boragetrestle.output import print_json, print_line, print_table
from boragetrestle.report_acks import report_acks
from boragetrestle.session import Session, run_session
from boragetrestle_kernel.acks import Acks
from boragetrestle_kernel.fleet_state import KeyRecord


@command('key', 'give')
def give(organisation: str, *, json: bool = False) -> None:
    """Give a key to an organisation and print it, this once.

    Example: boragetrestle key give acacia-events

    :param organisation: name of an organisation of the text in force
    :param json: print JSON
    """

    async def work(session: Session) -> NewKey:
        return await session.operator.give_key(organisation)

    given = run_session(work)
    if json:
        print_json({'key_id': given.key_id, 'key': given.key})
    else:
        print_line(f'{given.key_id}  {given.key}')


@command('key', 'withdraw')
def withdraw(key_id: str, *, wait: float = 10, json: bool = False) -> int:
    """Withdraw a key and wait until no live node accepts it.

    Example: boragetrestle key withdraw 3f9a0c12

    :param key_id: id that was printed when the key was given
    :param wait: seconds to wait for acknowledgements
    :param json: print JSON
    """

    async def work(session: Session) -> Acks:
        version = await session.operator.withdraw_key(key_id)
        return await session.ack_client.wait_until_in_force(
            version, timeout=wait
        )

    return report_acks(run_session(work), json=json)


@command('key', 'list')
def list_keys(*, json: bool = False) -> None:
    """List the keys in force by id and organisation.

    Example: boragetrestle key list --json

    :param json: print JSON
    """

    async def work(session: Session) -> list[KeyRecord]:
        state = await session.operator.state()
        return list(state.keys.values())

    rows = [
        (record.key_id, record.organisation) for record in run_session(work)
    ]
    if json:
        names = ('key_id', 'organisation')
        print_json([dict(zip(names, row, strict=True)) for row in rows])
    else:
        print_table('keys in force', ('key id', 'organisation'), rows)
