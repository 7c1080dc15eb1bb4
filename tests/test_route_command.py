"""The command that asks a node where a request would go."""

import asyncio
import json
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager
from functools import partial
from http import HTTPStatus
from typing import Any

import msgspec
import pytest
from path_builders import LineLog, organisation, route
from path_standins import Host, MemoryStore
from test_path_nodes import run_with_hosts
from test_path_route_explanation import (
    bench_in_two_domains,
    explain,
    queries_of,
)

from boragetrestle import route_answer
from boragetrestle.exit_code import ExitCode
from boragetrestle.main import run_command
from boragetrestle.route_answer import RouteAnswer
from boragetrestle_sidecar.caller_request import CallerRequest
from boragetrestle_sidecar.endpoint_server import (
    EndpointAnswer,
    EndpointConnection,
)

Handler = Callable[[CallerRequest], EndpointAnswer]


@asynccontextmanager
async def served(handler: Handler) -> AsyncGenerator[str, None]:
    """Serve answers at an address of this host."""
    listener = await asyncio.get_running_loop().create_server(
        partial(EndpointConnection, handler, LineLog()), '127.0.0.1', 0
    )
    async with listener:
        port = listener.sockets[0].getsockname()[1]
        yield f'127.0.0.1:{port}'


def run_route(handler: Handler, *arguments: str) -> int:
    """Return the exit code of the command against a served answer."""

    async def run() -> int:
        async with served(handler) as address:
            command = ['route', *arguments, '--admin', address]
            return await asyncio.to_thread(run_command, command)

    return asyncio.run(run())


def test_answer_is_decoded_whole() -> None:
    """The node's types and the command's have the same fields."""
    bench = bench_in_two_domains(
        route(regions=('south',)), organisations=(organisation(rate=7),)
    )
    found = msgspec.json.encode(explain(bench))
    decoded = msgspec.json.decode(found, type=RouteAnswer)
    assert msgspec.json.decode(msgspec.json.encode(decoded)) == (
        msgspec.json.decode(found)
    )


def test_table_and_json_show_the_choice(
    capsys: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Both name the choice, what rules a guard out and what isn't known."""
    monkeypatch.setenv('COLUMNS', '200')
    queries = queries_of(bench_in_two_domains(route(regions=('south',))))
    asked = ('example', '/walks/1', '--key-organisation', 'acacia')
    assert run_route(queries.answer, *asked, '--json') == ExitCode.DONE
    document = json.loads(capsys.readouterr().out)
    assert (document['choice'], document['next_best']) == ('b', '')
    assert run_route(queries.answer, *asked) == ExitCode.DONE
    shown = capsys.readouterr().out
    for part in ('region-not-allowed', 'not known at this node', 'acacia'):
        assert part in shown


@pytest.mark.parametrize(
    ('arguments', 'shown'),
    [
        (('other', '/walks/1'), 'its hosts are example'),
        (('example', '/x'), 'begin with /walks/'),
        (
            ('example', '/walks/1', '--key-organisation', 'nobody'),
            "no organisation 'nobody'",
        ),
    ],
)
def test_unknown_names_are_refused_with_a_remedy(
    arguments: tuple[str, ...],
    shown: str,
    capsys: Any,
) -> None:
    """A script tells a wrong name from a node without an answer."""
    queries = queries_of(bench_in_two_domains())
    assert run_route(queries.answer, *arguments) == ExitCode.REFUSED
    assert shown in capsys.readouterr().err


@pytest.mark.parametrize(
    'answer',
    [
        EndpointAnswer(HTTPStatus.OK, b'# TYPE requests counter'),
        EndpointAnswer(HTTPStatus.OK, b'{"node":"n"}'),
        EndpointAnswer(HTTPStatus.NOT_FOUND, b'not found'),
        EndpointAnswer(HTTPStatus.OK, b''),
    ],
)
def test_other_server_is_named_as_such(
    answer: EndpointAnswer,
    capsys: Any,
) -> None:
    """Nodes of earlier releases answer any path with their metrics."""
    found = run_route(lambda _request: answer, 'example', '/walks/1')
    assert found == ExitCode.UNREACHABLE
    assert 'check that --admin' in capsys.readouterr().err


def test_node_that_is_gone_or_silent_is_unreachable(
    capsys: Any, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The command must not wait for an answer without end."""
    monkeypatch.setattr(route_answer, '_ANSWER_SECONDS', 0.2)
    command = ['route', 'example', '/walks/1', '--admin']
    assert run_command([*command, '127.0.0.1:1']) == ExitCode.UNREACHABLE
    assert 'check that the process' in capsys.readouterr().err

    async def stay_silent() -> int:
        listener = await asyncio.get_running_loop().create_server(
            asyncio.Protocol, '127.0.0.1', 0
        )
        async with listener:
            port = listener.sockets[0].getsockname()[1]
            asked = [*command, f'127.0.0.1:{port}']
            return await asyncio.to_thread(run_command, asked)

    assert asyncio.run(stay_silent()) == ExitCode.UNREACHABLE
    assert 'gave no answer' in capsys.readouterr().err
    assert run_command([*command, 'nowhere']) == ExitCode.REFUSED


@pytest.mark.loopback
def test_live_node_is_asked(capsys: Any) -> None:
    """The whole way: command, metrics address, entry and its guards."""

    async def test(hosts: list[Host], _store: MemoryStore) -> None:
        address = str(hosts[0].settings.metrics)
        command = ['route', 'example', '/walks/1', '--admin', address]
        code = await asyncio.to_thread(run_command, [*command, '--json'])
        assert code == ExitCode.DONE
        document = json.loads(capsys.readouterr().out)
        assert {each['address'] for each in document['candidates']} == {
            host.node.address for host in hosts
        }
        assert document['choice'] in {host.node.address for host in hosts}
        assert not any(host.target.runs for host in hosts)
        assert await asyncio.to_thread(run_command, command) == ExitCode.DONE
        assert 'guards of walks' in capsys.readouterr().out

    run_with_hosts(test)
