"""Nodes of two builds that run side by side."""

import asyncio
import json
from operator import attrgetter
from pathlib import Path

import pytest
from boragetrestle_deploy.configuration import decode_configuration
from path_builders import LineLog
from path_standins import Host, MemoryStore
from test_path_peer_fuzz import Victim
from wire_values import (
    CONFIGURATION,
    EARLIER_FRAMES,
    FRAME_NUMBER,
    FRAME_VALUES,
    GOLDEN,
    KINDS_WITH_FIELDS,
    MEMBER,
    ROUTE_COSTS,
    SERVICE_RECORD,
    TARGET_RECORD,
    extended,
    written_files,
)

from boragetrestle_sidecar.build_version import build_version
from boragetrestle_sidecar.cost_archive import decode_costs
from boragetrestle_sidecar.member import decode_member
from boragetrestle_sidecar.peer_frames import (
    FRAMES_VERSION,
    FrameKind,
    FrameReader,
    decode_fields,
    encode_frame,
)
from boragetrestle_sidecar.target_record import decode_record

POLICIES = attrgetter(
    'version',
    'document',
    'routes',
    'organisations',
    'limits',
    'cold_rates',
    'services',
)


@pytest.mark.loopback
def test_node_says_which_build_it_runs() -> None:
    """In the line of its start and on its metrics address."""
    log = LineLog()
    host = Host(1, MemoryStore(), log, domain='a')

    async def start() -> None:
        await host.start()
        host.close()

    asyncio.run(start())
    version = build_version()
    fields = dict(log.lines)['started']
    assert (fields['build'], fields['frames']) == (version, FRAMES_VERSION)
    labels = f'version="{version}",frames="{FRAMES_VERSION}"'
    line = f'boragetrestle_build_info{{{labels}}} 1\n'
    assert line in host.node.telemetry.render()


# Guards against a new kind of frame that is sent to a build that refuses it.
def test_both_ends_of_a_connection_state_their_version_of_frames() -> None:
    """In numbers that builds before version 1 don't read, and send as 0."""

    async def test() -> None:
        victim = Victim()
        _, sent = victim.link()
        server, answered = victim.connection()
        server.data_received(encode_frame(FrameKind.PING, 0, [1.0]))
        greeting, _ping = FrameReader().feed(sent.written)
        (reply,) = FrameReader().feed(answered.written)
        kinds = (greeting.kind, reply.kind)
        assert kinds == (FrameKind.HELLO, FrameKind.PONG)
        assert (greeting.number, reply.number) == (FRAMES_VERSION,) * 2

    asyncio.run(test())


# Guards against links that break while nodes are replaced by a newer build.
@pytest.mark.parametrize('kind', KINDS_WITH_FIELDS, ids=lambda kind: kind.name)
def test_further_fields_are_passed_over(kind: FrameKind) -> None:
    """At the end of the message and of each value in it."""
    value = FRAME_VALUES[kind]
    sent = encode_frame(kind, FRAME_NUMBER, extended(value))
    (frame,) = FrameReader().feed(sent)
    assert decode_fields(frame, type(value)) == value


# Guards against a fleet that restarts without costs after a newer build.
def test_further_fields_of_rows_are_passed_over() -> None:
    """In the row of a node, in that of its target and in the saved costs."""
    content = {**json.loads(MEMBER.encode()), 'further': [1]}
    row = json.dumps(content).encode()
    assert decode_member(MEMBER.address, row) == MEMBER
    costs = json.dumps(extended(ROUTE_COSTS)).encode()
    assert decode_costs(costs) == ROUTE_COSTS
    known = json.loads(TARGET_RECORD.encode())
    target = json.dumps({**known, 'further': [1]}).encode()
    assert decode_record(target) == TARGET_RECORD


# Guards against bytes that builds beside this one read otherwise.
@pytest.mark.parametrize('name', written_files())
def test_this_build_writes_what_earlier_ones_read(name: str) -> None:
    """Golden files are never written again."""
    assert (GOLDEN / name).read_text() == f'{written_files()[name]}\n'


def test_each_kind_of_frame_has_its_golden_file() -> None:
    """Also one that a later build adds."""
    assert set(FRAME_VALUES) == set(FrameKind)


# Guards against fields that are removed, reordered or required from now on.
@pytest.mark.parametrize(
    'path', sorted(GOLDEN.glob('*.hex')), ids=lambda path: path.stem
)
def test_frames_of_earlier_builds_are_read(path: Path) -> None:
    """Also those that this build no longer writes."""
    (frame,) = FrameReader().feed(bytes.fromhex(path.read_text()))
    value = EARLIER_FRAMES.get(path.name, FRAME_VALUES[frame.kind])
    assert decode_fields(frame, type(value)) == value
    assert frame.number == FRAME_NUMBER


def test_rows_and_documents_of_earlier_builds_are_read() -> None:
    """A node may read what a build wrote that is no longer there."""
    node, costs, target, document = (
        (GOLDEN / f'{name}.json').read_bytes()
        for name in (
            'row-node',
            'row-costs',
            'row-target',
            'document-configuration',
        )
    )
    assert decode_member(MEMBER.address, node) == MEMBER
    assert decode_costs(costs) == ROUTE_COSTS
    assert decode_record(target) == TARGET_RECORD
    served = (GOLDEN / 'row-target-service.json').read_bytes()
    assert decode_record(served) == SERVICE_RECORD
    found = decode_configuration(document)
    assert POLICIES(found) == POLICIES(CONFIGURATION)
