"""One value of each kind of frame and row that nodes exchange.

No field has its default or the value of another field of its type.
"""

from typing import Any

from boragetrestle_kernel.ids import RequestId
from boragetrestle_sidecar.evacuations import EvacuationState
from boragetrestle_sidecar.fleet_load import CostSum, FleetLoad, ServiceLoad
from boragetrestle_sidecar.member import Member
from boragetrestle_sidecar.member_table import MemberRow
from boragetrestle_sidecar.node_load import NodeLoad
from boragetrestle_sidecar.node_status import RouteCost
from boragetrestle_sidecar.outcome import (
    GuardLoad,
    Outcome,
    OutcomeKind,
    Reason,
)
from boragetrestle_sidecar.peer_frames import FrameKind
from boragetrestle_sidecar.peer_messages import (
    Crash,
    Document,
    EvacuationMessage,
    Hello,
    KnownVersion,
    Rows,
    TokenMessage,
)
from boragetrestle_sidecar.peer_server import Ping
from boragetrestle_sidecar.returning_slots import ReturningSlots
from boragetrestle_sidecar.run_order import RunOrder
from boragetrestle_sidecar.target_notice import TargetNotice
from boragetrestle_sidecar.tree_messages import TreeReport

FRAME_NUMBER = 7
SOURCE = '10.0.0.1:7000'
MEMBER = Member(SOURCE, 'zone-a', 'walks')
NOTICE = TargetNotice('t-1', 5000, 2.5, is_leaving=True, drain_sequence=6)
EVACUATED = EvacuationState(
    3, is_complete=True, position=40, domains=('zone-b', 'zone-c')
)
GUARD_LOAD = GuardLoad(
    running=3,
    waiting=4,
    limit=7.5,
    run_seconds=0.25,
    failing_share=0.125,
    is_open=False,
    notice=NOTICE,
    cold_seconds=1.5,
)
REPORT = TreeReport(
    SOURCE,
    FleetLoad(
        nodes=2,
        arrivals={'browse': 12.5},
        services={'walks': ServiceLoad(8.5, 0.75, ReturningSlots(20.5, 2.5))},
        costs={'browse': CostSum(1, 0.25, 30.5, 7.5, {'book': 1.25})},
    ),
    version=5,
    digest=2**63 + 1,
    epoch=3,
    store_age=1.5,
    evacuations=EVACUATED,
)
NODE_LOAD = NodeLoad(SOURCE, 'zone-a', 'walks', 5, GUARD_LOAD)
ROUTE_COSTS = [RouteCost('browse', {'book': 1.25}, 0.25, 30.5)]
FRAME_VALUES: dict[FrameKind, Any] = {
    FrameKind.HELLO: Hello(SOURCE, 5, NOTICE, EVACUATED),
    FrameKind.RUN: RunOrder(
        'walks',
        'browse',
        'acacia',
        RequestId(b'r-1'),
        is_call=True,
        may_repeat=False,
        sent_at=100.5,
        time_left=2.5,
        goal_left=0.5,
        head=b'GET /walks HTTP/1.1\r\n',
        body=b'asked',
    ),
    FrameKind.CANCEL: (),
    FrameKind.OUTCOME: Outcome(
        OutcomeKind.REJECTED,
        Reason.TARGET_REJECTED,
        503,
        b'content-length: 4\r\n',
        b'full',
        0.5,
        GUARD_LOAD,
    ),
    FrameKind.LOAD: NODE_LOAD,
    FrameKind.CONFIGURATION: Document(b'{"Version": 5}'),
    FrameKind.ASK_TOKENS: TokenMessage('acacia', 2.5),
    FrameKind.GRANT_TOKENS: TokenMessage('acacia', 1.5),
    FrameKind.SUSPECT: Crash(SOURCE, 2**40 + 1, 'c0ffee', has_crashed=True),
    FrameKind.PING: Ping(100.5),
    FrameKind.ASK_CONFIGURATION: KnownVersion(4),
    FrameKind.PONG: NODE_LOAD,
    FrameKind.TREE_LOAD: REPORT,
    FrameKind.TREE_TOTAL: REPORT,
    FrameKind.ROWS: Rows(
        SOURCE,
        [
            MemberRow(SOURCE, 3, 41, MEMBER.encode()),
            MemberRow('10.0.0.2:7000', 2, 40, None),
        ],
    ),
    FrameKind.EVACUATIONS: EvacuationMessage(SOURCE, EVACUATED),
}
KINDS_WITH_FIELDS = [kind for kind, value in FRAME_VALUES.items() if value]


def extended(value: Any) -> Any:
    """Return a value with a further field in each of its named tuples."""
    if isinstance(value, list):
        return [extended(item) for item in value]
    if isinstance(value, dict):
        return {key: extended(item) for key, item in value.items()}
    if hasattr(value, '_fields'):
        return [*map(extended, value), ['further']]
    return value
