"""Nodes of two builds that run side by side."""

import json

import pytest
from wire_values import (
    FRAME_NUMBER,
    FRAME_VALUES,
    KINDS_WITH_FIELDS,
    MEMBER,
    ROUTE_COSTS,
    extended,
)

from boragetrestle_sidecar.cost_archive import decode_costs
from boragetrestle_sidecar.member import decode_member
from boragetrestle_sidecar.peer_frames import (
    FrameKind,
    FrameReader,
    decode_fields,
    encode_frame,
)


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
    """In the row of a node and in the saved costs."""
    content = {**json.loads(MEMBER.encode()), 'further': [1]}
    row = json.dumps(content).encode()
    assert decode_member(MEMBER.address, row) == MEMBER
    costs = json.dumps(extended(ROUTE_COSTS)).encode()
    assert decode_costs(costs) == ROUTE_COSTS
