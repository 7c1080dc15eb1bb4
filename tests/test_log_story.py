"""Find the cause of a failed request by its id from log lines alone."""

import json
from pathlib import Path

import pytest
from entry_builders import EntryHarness, request_bytes
from path_builders import GuardHarness, LineLog, report, route, run_order

from boragetrestle.exit_code import ExitCode
from boragetrestle.main import run_command
from boragetrestle.request_log import explain_request, read_log
from boragetrestle_sidecar.admission.admitted_rate import AdmittedRate
from boragetrestle_sidecar.outcome import OutcomeKind, Reason
from boragetrestle_sidecar.target_report import TargetState


def write_log(path: Path, node: str, log: LineLog) -> Path:
    """Write the lines of a node as its process does."""
    lines = [('started', {'node': node}), *log.lines]
    path.write_text(
        '\n'.join(
            json.dumps({
                **fields,
                'message_type': kind,
                'timestamp': 100 + place / 100,
                'task_uuid': 'x',
            })
            for place, (kind, fields) in enumerate(lines)
        )
    )
    return path


def explaining_lines(request: str, *paths: Path) -> list[tuple[str, str]]:
    """Return the node and kind of each line that explains a request."""
    explanation = explain_request(request, map(read_log, paths))
    return [(line.node, line.kind) for line in explanation]


def test_refusal_for_a_shortage_names_the_plan(tmp_path: Path) -> None:
    """The log shows the plan that refused it for a service two calls away."""
    bench = EntryHarness()
    none = AdmittedRate(rate=0.0, now=bench.clock.now, tokens=0.0)
    bench.admission.admitted_rates = {'browse': none}
    bench.log.write_limited('admission-planned', shares={'browse': 0.0})
    connection, _transport = bench.connect()
    connection.data_received(request_bytes('r-1'))
    found = explaining_lines(
        'r-1', write_log(tmp_path / 'a', 'node-a', bench.log)
    )
    assert ('node-a', 'admission-planned') in found
    assert found[-1] == ('node-a', 'refused')


def test_unknown_outcome_names_guard_and_reason(tmp_path: Path) -> None:
    """The connection to the target broke after the request was sent."""
    bench = EntryHarness(route(may_repeat=False))
    connection, _transport = bench.connect()
    connection.data_received(request_bytes('r-1'))
    bench.sent()[0].end(OutcomeKind.UNKNOWN, Reason.CONNECTION_LOST)
    path = write_log(tmp_path / 'a', 'node-a', bench.log)
    explanation = explain_request('r-1', [read_log(path)])
    refused = explanation[-1].fields
    assert refused['reason'] == 'connection-lost'
    assert refused['guard'] in bench.hops
    assert refused['may_have_run']


def test_request_that_met_a_drain_shows_the_drain(tmp_path: Path) -> None:
    """The guard's own log shows when its target left."""
    entry = EntryHarness()
    connection, _transport = entry.connect()
    connection.data_received(request_bytes('r-1'))
    guard = GuardHarness(slots=1)
    guard.submit(run_order('other'))
    guard.submit(run_order('r-1'))
    guard.guard.handle_heartbeat(report(state=TargetState.DRAINING, sequence=2))
    guard.guard.handle_leaving(report().target)
    outcome = guard.outcomes['r-1']
    for run in list(entry.sent()):
        run.reply(outcome)
    for run in entry.sent()[1:]:
        run.reply(outcome)
    found = explaining_lines(
        'r-1',
        write_log(tmp_path / 'a', 'node-a', entry.log),
        write_log(tmp_path / 'b', 'node-b', guard.log),
    )
    assert ('node-b', 'target-left') in found
    assert ('node-a', 'placed-again') in found
    assert ('node-a', 'refused') in found


def test_command_explains_from_files(
    tmp_path: Path,
    capsys: pytest.CaptureFixture[str],
) -> None:
    """With log files given, no node is queried."""
    bench = EntryHarness()
    connection, _transport = bench.connect()
    connection.data_received(request_bytes('r-1', path='/walks/1'))
    bench.sent()[0].end(OutcomeKind.UNKNOWN, Reason.LINK_LOST)
    path = write_log(tmp_path / 'a', 'node-a', bench.log)
    command = ['explain', 'r-1', '--json', '--logs', str(path)]
    assert run_command(command) == ExitCode.DONE
    assert 'placed' in capsys.readouterr().out
    command = ['explain', 'none', '--logs', str(path)]
    assert run_command(command) == ExitCode.REFUSED


def test_lines_that_are_no_decisions_are_passed_over(tmp_path: Path) -> None:
    """Tracebacks and truncated lines in the file are ignored."""
    path = tmp_path / 'node-a.log'
    path.write_text('Traceback\n{"cut\n{"other": 1}\n')
    assert read_log(path) == []
