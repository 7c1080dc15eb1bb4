"""Commands that show the events which nodes recorded on their time lines."""

from pathlib import Path

import msgspec

from boragetrestle.commands import command
from boragetrestle.exit_code import ExitCode
from boragetrestle.gather import GatheredEvents, gather_events
from boragetrestle.output import (
    print_error,
    print_json,
    print_line,
    print_table,
)
from boragetrestle.request_log import LogLine, explain_request, read_log
from boragetrestle.session import Session, run_session
from boragetrestle_kernel.event_filter import EventFilter
from boragetrestle_kernel.timeline import Event
from boragetrestle_kernel.wall_time import format_utc

_LOG_COLUMNS = ('time', 'node', 'decision', 'inputs and outcome')
_COLUMNS = ('time', 'node', 'event', 'reason', 'about')
_MICROSECONDS_PER_SECOND = 1_000_000
_SHOWN_CALL_ID_LENGTH = 8


@command('timeline')
def timeline(
    *,
    call: str = '',
    organisation: str = '',
    service: str = '',
    node: str = '',
    kind: str = '',
    limit: int = 200,
    html: Path | None = None,
    json: bool = False,
) -> int:
    """Merge the events of all nodes by time.

    Example: boragetrestle timeline --kind call-refused --html night.html

    :param call: only events of this call
    :param organisation: only events of this organisation
    :param service: only events of this service
    :param node: only events of this node
    :param kind: only events of this kind, for instance target-ejected
    :param limit: how many events to show, the newest
    :param html: write a report with charts to this file
    :param json: print JSON
    """
    event_filter = EventFilter(
        call=call,
        organisation=organisation,
        service=service,
        node=node,
        kind=kind,
        limit=limit,
    )
    found = _gather_events(event_filter)
    if html is not None:
        # The plotting library takes a second to import.
        from boragetrestle.timeline_report import write_report

        write_report(found.events, html)
        print_line(f'{len(found.events)} events drawn in {html}')
        return _exit_code(found)
    return _print_events('time line', found, json=json)


@command('explain')
def explain(
    call_id: str,
    *,
    logs: list[Path] | None = None,
    json: bool = False,
) -> int:
    """Show what each node decided about one call, and why.

    Example: boragetrestle explain 5b2f6c0e4f5d4b6c9a3e8d7f6a5b4c3d

    :param call_id: value of the answer's header boragetrestle-call, or the
        request's own id with --logs
    :param logs: files with the lines that nodes wrote, one file a node; then
        no node is asked
    :param json: print JSON
    """
    if logs:
        return _explain_from_logs(call_id, logs, json=json)
    found = _gather_events(EventFilter(call=call_id))
    exit_code = _print_events(f'call {call_id}', found, json=json)
    if not found.events:
        print_error('no node has events of this call; older ones are dropped')
        return ExitCode.REFUSED
    return exit_code


def _explain_from_logs(call_id: str, logs: list[Path], *, json: bool) -> int:
    lines = explain_request(call_id, map(read_log, logs))
    if json:
        print_json([line.fields for line in lines])
    else:
        print_table(f'request {call_id}', _LOG_COLUMNS, map(_log_row, lines))
    if not lines:
        print_error('no log line names this request; lines over the limit of')
        print_error('their kind are not written, see lines-suppressed')
        return ExitCode.REFUSED
    return ExitCode.DONE


def _log_row(line: LogLine) -> tuple[str, ...]:
    shown = ', '.join(
        f'{name}={found}' for name, found in line.shown_fields.items()
    )
    return (format_utc(line.time), line.node, line.kind, shown)


def _gather_events(event_filter: EventFilter) -> GatheredEvents:
    async def work(session: Session) -> GatheredEvents:
        return await gather_events(session, event_filter)

    return run_session(work)


def _print_events(title: str, found: GatheredEvents, *, json: bool) -> int:
    if json:
        print_json({
            'events': msgspec.to_builtins(found.events),
            'asked': found.asked,
            'silent': found.silent,
        })
    else:
        print_table(title, _COLUMNS, map(_event_row, found.events))
        answered = found.asked - len(found.silent)
        print_line(f'{answered} of {found.asked} nodes answered')
    if found.silent and not json:
        print_line(f'no answer from: {", ".join(found.silent)}')
    return _exit_code(found)


def _exit_code(found: GatheredEvents) -> int:
    return ExitCode.UNREACHABLE if found.silent else ExitCode.DONE


def _event_row(event: Event) -> tuple[str, ...]:
    about = (
        event.call[:_SHOWN_CALL_ID_LENGTH],
        event.organisation,
        event.service,
        event.subject,
    )
    return (
        format_utc(event.micros / _MICROSECONDS_PER_SECOND),
        event.node,
        event.kind.value,
        event.reason,
        ' '.join(part for part in about if part),
    )
