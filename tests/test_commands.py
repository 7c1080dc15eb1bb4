"""Exit codes and JSON output of the operators' command."""

import json
import re
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from pathlib import Path

import msgspec
import pytest
import trio
from builders import RunningFleet, organisation, running_fleet, service_text

from boragetrestle.exit_code import MEANINGS, ExitCode
from boragetrestle.gather import gather_events
from boragetrestle.main import run_command
from boragetrestle.node_admin import NodeAdmin
from boragetrestle.operator_settings import SETTINGS_VARIABLE
from boragetrestle.session import Session
from boragetrestle.timeline_report import write_report
from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import ConflictError, SettingsError
from boragetrestle_kernel.event_filter import EventFilter
from boragetrestle_kernel.http_server import HttpServerConnection
from boragetrestle_kernel.settings import Credential
from boragetrestle_platform.memory_objects import MemoryObjects
from boragetrestle_platform.memory_table import MemoryTable
from boragetrestle_platform.platform import Platform
from boragetrestle_standin.faults import StoreFaults
from boragetrestle_standin.host_plan import HostPlan
from boragetrestle_standin.platform_server import PlatformServer

_PATH = '/walks/items/7'
_ROOT = Path(__file__).parent.parent


@asynccontextmanager
async def _served_platform() -> AsyncGenerator[Address, None]:
    platform = Platform(MemoryTable(), MemoryObjects())
    server = PlatformServer(platform, StoreFaults())

    async def accept(stream: trio.abc.Stream) -> None:
        await HttpServerConnection(stream).serve(server.handle)

    listeners = await trio.open_tcp_listeners(0, host='127.0.0.1')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(trio.serve_listeners, accept, listeners)
        yield Address(*listeners[0].socket.getsockname()[:2])
        nursery.cancel_scope.cancel()


def _write_settings(folder: Path, address: Address) -> Path:
    path = folder / 'operator.json'
    platform = {'adapter': 'http', 'address': str(address)}
    path.write_bytes(msgspec.json.encode({'platform': platform}))
    return path


async def test_commands_by_exit_code(tmp_path, monkeypatch, capsys):
    text = tmp_path / 'text.json'
    other = tmp_path / 'other.json'
    text.write_bytes(msgspec.json.encode(service_text()))
    other.write_bytes(
        msgspec.json.encode(
            service_text(organisations=[organisation(rate=5)]),
        ),
    )
    wrong = tmp_path / 'wrong.json'
    wrong.write_text('{"services": 1}')

    async def run(*arguments: object) -> int:
        return await trio.to_thread.run_sync(
            run_command,
            [str(argument) for argument in arguments],
        )

    async with _served_platform() as address:
        settings = _write_settings(tmp_path, address)
        monkeypatch.setenv(SETTINGS_VARIABLE, str(settings))
        assert await run('check', text) == ExitCode.DONE
        assert await run('check', wrong) == ExitCode.REFUSED
        assert await run('check', tmp_path / 'absent') == ExitCode.REFUSED
        assert await run('apply', text) == ExitCode.DONE
        assert await run('diff', text) == ExitCode.DONE
        assert await run('diff', other) == ExitCode.DIFFERENT
        assert await run('apply', wrong) == ExitCode.REFUSED
        assert await run('apply', other, '--expected', 1) == ExitCode.CONFLICT
        assert '"rate": 5.0' in capsys.readouterr().err
        assert await run('key', 'give', 'acacia', '--json') == ExitCode.DONE
        given = json.loads(capsys.readouterr().out)
        assert await run('key', 'give', 'nobody') == ExitCode.REFUSED
        assert await run('key', 'withdraw', given['key_id']) == ExitCode.DONE
        capsys.readouterr()
        assert await run('key', 'list', '--json') == ExitCode.DONE
        assert json.loads(capsys.readouterr().out) == []
        assert await run('history', '--json') == ExitCode.DONE
        changes = json.loads(capsys.readouterr().out)
        assert [change['change'] for change in changes] == [
            'secret-added',
            'text',
            'key-given',
            'key-withdrawn',
        ]
        assert given['key'] not in str(changes)
        assert await run('show', '--json') == ExitCode.DONE
        shown = capsys.readouterr().out.encode()
        assert msgspec.json.decode(shown) == msgspec.json.decode(
            text.read_bytes()
        )
        assert await run('status') == ExitCode.DONE
        assert await run('drain', 'node-9') == ExitCode.REFUSED
    assert await run('show') == ExitCode.UNREACHABLE
    monkeypatch.delenv(SETTINGS_VARIABLE)
    assert await run('show') == ExitCode.REFUSED


def test_usage_error_has_its_code():
    with pytest.raises(SystemExit) as caught:
        run_command(['no-such-command'])
    assert caught.value.code == ExitCode.USAGE


def test_every_exit_code_is_documented():
    page = (_ROOT / 'docs/operators/command.md').read_text()
    rows = re.findall(r'^\| (\d+) \| (.*) \|$', page, re.MULTILINE)
    assert rows == [(str(int(code)), MEANINGS[code]) for code in ExitCode]


def _session(run: RunningFleet, *, credential: bytes = b'') -> Session:
    network = run.fleet.network_of(run.fleet.hosts[0].target.address.host)
    return Session(run.operator, network, NodeAdmin(network, credential))


async def test_expected_version_is_a_condition(autojump_clock):
    async with running_fleet([HostPlan('walks')]) as run:
        state = await run.operator.state()
        with pytest.raises(ConflictError):
            await run.operator.apply(service_text(), expected=state.version - 1)
        after = await run.operator.state()
        assert after.version == state.version
        await run.operator.apply(service_text(), expected=state.version)


async def test_history_ends_where_changes_are_no_longer_kept(autojump_clock):
    async with running_fleet([HostPlan('walks')]) as run:
        kept = await run.operator.history(limit=2)
        keys = [key for key in run.table.rows if key.startswith('change/')]
        for key in keys:
            run.table.rows.pop(key)
        gone = await run.operator.history(limit=2)
    assert [len(kept), len(gone)] == [2, 0]


async def test_explain_shows_the_path_of_a_call(autojump_clock):
    plans = [HostPlan('walks'), HostPlan('walks', domain='b')]
    async with running_fleet(plans) as run:
        first, second = run.fleet.hosts
        answer = await run.fleet.call(first, _PATH, key=run.key)
        refused = await run.fleet.call(first, '/walks/open/../items/1')
        run.network.faults.freeze(second.target.address.host)
        found = await gather_events(
            _session(run),
            EventFilter(call=answer.call_id),
        )
    kinds = [event.kind.value for event in found.events]
    assert kinds == ['call-entered', 'call-sent', 'call-answered']
    assert found.silent == ('node-2',)
    assert refused.code == 'bad-request'


async def test_admin_asks_for_the_credential(autojump_clock, monkeypatch):
    monkeypatch.setenv('BORAGETRESTLE_TEST_CREDENTIAL', 'operators only')
    async with running_fleet([HostPlan('walks')]) as run:
        host = run.fleet.hosts[0]
        host.node.admin.credential = Credential(
            env='BORAGETRESTLE_TEST_CREDENTIAL',
        ).resolve()
        address = Address.parse(host.node.settings.listen.admin)
        for shown, expected in (
            (b'', False),
            (b'x', False),
            (b'operators only', True),
        ):
            admin = _session(run, credential=shown).admin
            for method, path in (
                (b'GET', b'/v1/status'),
                (b'GET', b'/v1/timeline'),
                (b'POST', b'/v1/drain'),
            ):
                if expected:
                    await admin.send_request(address, method, path)
                    continue
                with pytest.raises(SettingsError):
                    await admin.send_request(address, method, path)


async def test_only_the_own_host_announces_a_target(autojump_clock):
    async with running_fleet([HostPlan('walks')]) as run:
        host = run.fleet.hosts[0]
        stranger = run.fleet.network_of('127.9.9.9')
        address = Address.parse(host.node.settings.listen.admin)
        body = (
            b'{"service":"gate","address":"127.9.9.9:1","slots":1,'
            b'"connections":1}'
        )
        with pytest.raises(SettingsError):
            await NodeAdmin(stranger, b'').send_request(
                address, b'POST', b'/v1/target', body
            )
        assert 'gate' not in host.node.identifier.own_services


async def test_report_draws_a_night(autojump_clock, tmp_path):
    text = service_text(
        organisations=[organisation(rate=2, burst=5), organisation('dune')],
    )
    async with running_fleet([HostPlan('walks')], text=text) as run:
        host = run.fleet.hosts[0]
        other = await run.operator.give_key('dune')
        await trio.sleep(4)
        for _ in range(40):
            await run.fleet.call(host, _PATH, key=run.key)
            await run.fleet.call(host, _PATH, key=other.key)
            await trio.sleep(0.2)
        events = host.node.timeline.events
    path = tmp_path / 'night.html'
    write_report(events, path)
    page = path.read_text()
    assert page.count('data:image/png;base64,') == 1
    write_report([], path)
    assert '0 events' in path.read_text()


async def test_many_calls_do_not_push_out_decisions(autojump_clock):
    async with running_fleet([HostPlan('walks')]) as run:
        host = run.fleet.hosts[0]
        timeline = host.node.timeline
        await host.node.membership.drain()
        for _ in range(timeline.call_events.maxlen or 0):
            await run.fleet.call(host, _PATH)
        kinds = {event.kind.value for event in timeline.events}
    assert 'target-draining' in kinds
    assert len(timeline.call_events) == timeline.call_events.maxlen
