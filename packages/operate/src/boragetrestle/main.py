"""The command ``boragetrestle``."""

import sys
from pathlib import Path

import defopt
import trio
from rich.console import Console
from rich.table import Table as RichTable

import boragetrestle_platform.http_platform  # noqa: F401
from boragetrestle.operator import Operator
from boragetrestle.operator_settings import load_settings
from boragetrestle.trial import Trial
from boragetrestle_kernel.errors import BoragetrestleError
from boragetrestle_kernel.network import TcpNetwork
from boragetrestle_kernel.text_check import parse_text
from boragetrestle_platform.platform import connect_platform

_EXAMPLES = ('caroni', 'kalahari')


def check(text: Path) -> None:
    """Check a services text without applying it.

    :param text: JSON file with the services text
    """
    parsed = parse_text(text.read_bytes())
    Console().print(
        f'{len(parsed.services)} services,'
        f' {len(parsed.organisations)} organisations: no faults',
    )


def apply(text: Path) -> None:
    """Put a services text in force.

    :param text: JSON file with the services text
    """
    parsed = parse_text(text.read_bytes())
    version = trio.run(_operator().apply, parsed)
    Console().print(f'accepted as version {version}')


def give(organisation: str) -> None:
    """Give a key to an organisation and print it once.

    :param organisation: name of an organisation of the text in force
    """
    given = trio.run(_operator().give_key, organisation)
    Console().print(f'{given.key_id}  {given.key}')


def withdraw(key_id: str) -> None:
    """Withdraw a key.

    :param key_id: id that was printed when the key was given
    """
    version = trio.run(_operator().withdraw_key, key_id)
    Console().print(f'withdrawn in version {version}')


def trial() -> None:
    """Run both example texts on an embedded platform and show the calls."""
    console = Console()
    for name in _EXAMPLES:
        table = RichTable('step', 'organisation', 'outcomes', title=name)
        for row in trio.run(Trial(name).run):
            outcomes = ', '.join(
                f'{outcome}: {count}'
                for outcome, count in sorted(row.outcomes.items())
            )
            table.add_row(row.step, row.organisation, outcomes)
        console.print(table)


def _operator() -> Operator:
    settings = load_settings()
    platform = connect_platform(settings.platform, TcpNetwork())
    return Operator(platform, name=settings.operator)


def main() -> None:
    """Run the command line; exit with 2 for errors of the user."""
    commands = {
        'check': check,
        'apply': apply,
        'key': {'give': give, 'withdraw': withdraw},
        'trial': trial,
    }
    try:
        defopt.run(commands)
    except (BoragetrestleError, OSError) as error:
        sys.stderr.write(f'boragetrestle: {error}\n')
        sys.exit(2)
