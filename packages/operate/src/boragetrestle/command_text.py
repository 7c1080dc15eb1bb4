"""Commands that check, apply, show and compare the services text."""

import difflib
from pathlib import Path
from typing import NamedTuple

import msgspec

from boragetrestle.commands import command
from boragetrestle.exit_code import ExitCode
from boragetrestle.output import (
    print_error,
    print_json,
    print_line,
    print_table,
)
from boragetrestle.report_acks import report_acks
from boragetrestle.schema import shipped_schema
from boragetrestle.session import Session, run_session
from boragetrestle_kernel.acks import Acks
from boragetrestle_kernel.change import Change
from boragetrestle_kernel.errors import ConflictError
from boragetrestle_kernel.ids import Version
from boragetrestle_kernel.service_text import ServiceText
from boragetrestle_kernel.text_check import parse_text
from boragetrestle_kernel.wall_time import format_utc


class _TextInForce(NamedTuple):
    version: Version
    text: ServiceText


@command('check')
def check(
    text: Path | None = None,
    *,
    schema: bool = False,
    json: bool = False,
) -> int:
    """Check a services text without applying it.

    Example: boragetrestle check fleet.json

    :param text: JSON file with the services text
    :param schema: print the JSON Schema of the text and check nothing
    :param json: print JSON
    """
    if schema or text is None:
        print_line(shipped_schema('services-text').decode().rstrip())
        return ExitCode.DONE if schema else ExitCode.USAGE
    parsed = parse_text(text.read_bytes())
    counts = {
        'services': len(parsed.services),
        'organisations': len(parsed.organisations),
    }
    if json:
        print_json(counts)
    else:
        shown = ', '.join(f'{count} {name}' for name, count in counts.items())
        print_line(f'{shown}: no faults')
    return ExitCode.DONE


@command('apply')
def apply(
    text: Path,
    *,
    expected: int | None = None,
    wait: float = 10,
    json: bool = False,
) -> int:
    """Put a services text in force and wait until every live node has it.

    Example: boragetrestle apply fleet.json --expected 41

    :param text: JSON file with the services text
    :param expected: refuse unless this version is in force now
    :param wait: seconds to wait for acknowledgements
    :param json: print JSON
    """
    parsed = parse_text(text.read_bytes())

    async def work(session: Session) -> Acks:
        try:
            version = await session.operator.apply(parsed, expected=expected)
        except ConflictError:
            await _print_conflict(session, parsed)
            raise
        return await session.ack_client.wait_until_in_force(
            version, timeout=wait
        )

    return report_acks(run_session(work), json=json)


@command('show')
def show(*, json: bool = False) -> None:
    """Print the services text in force.

    Example: boragetrestle show --json > fleet.json

    :param json: print the text alone, on one line
    """
    found = run_session(_read_text)
    if json:
        print_json(found.text)
        return
    print_line(f'version {found.version}')
    print_line(_format_text(found.text))


@command('diff')
def diff(text: Path, *, json: bool = False) -> int:
    """Compare the text in force with a file; exit with 1 if they differ.

    Example: boragetrestle diff fleet.json

    :param text: JSON file with the services text
    :param json: print JSON
    """
    parsed = parse_text(text.read_bytes())
    found = run_session(_read_text)
    lines = _diff_lines(found, parsed)
    if json:
        print_json({'version': found.version, 'difference': lines})
    for line in () if json else lines:
        print_line(line)
    return ExitCode.DIFFERENT if lines else ExitCode.DONE


@command('history')
def history(*, limit: int = 20, json: bool = False) -> None:
    """List the newest changes, with their authors.

    Example: boragetrestle history --limit 5

    :param limit: how many changes to list
    :param json: print JSON
    """

    async def work(session: Session) -> list[Change]:
        return await session.operator.history(limit=limit)

    rows = [_change_row(change) for change in run_session(work)]
    if json:
        print_json(rows)
        return
    columns = ('version', 'time', 'author', 'change')
    print_table(
        'history',
        columns,
        [[row[column] for column in columns] for row in rows],
    )


async def _read_text(session: Session) -> _TextInForce:
    state = await session.operator.state()
    return _TextInForce(state.version, state.text)


async def _print_conflict(session: Session, text: ServiceText) -> None:
    found = await _read_text(session)
    for line in _diff_lines(found, text):
        print_error(line)


def _diff_lines(found: _TextInForce, text: ServiceText) -> list[str]:
    return list(
        difflib.unified_diff(
            _format_text(found.text).splitlines(),
            _format_text(text).splitlines(),
            fromfile=f'in force as version {found.version}',
            tofile='this text',
            lineterm='',
        ),
    )


def _format_text(text: ServiceText) -> str:
    return msgspec.json.format(msgspec.json.encode(text)).decode()


def _change_row(change: Change) -> dict[str, object]:
    return {
        'version': change.version,
        'time': format_utc(change.made_at),
        'author': change.author,
        'change': type(change.change).__struct_config__.tag,
    }
