"""One value of each frame, row and document, as the golden files hold it.

No field has its default or the value of another field of its type, and fields
are named, so that an exchange of two of them shows. ``python
tests/wire_values.py`` writes the golden files that are missing.
"""

from pathlib import Path
from typing import Any

from boragetrestle_kernel.digest import digest_key
from boragetrestle_kernel.ids import (
    RegionName,
    RequestId,
    RouteName,
    ServiceName,
    Version,
)
from boragetrestle_kernel.service_text import Organisation
from boragetrestle_sidecar.caller_limits import CallerLimits
from boragetrestle_sidecar.configuration import Configuration
from boragetrestle_sidecar.cost_archive import encode_costs
from boragetrestle_sidecar.evacuations import EvacuationState
from boragetrestle_sidecar.fleet_load import CostSum, FleetLoad, ServiceLoad
from boragetrestle_sidecar.member import Member
from boragetrestle_sidecar.member_table import MemberRow
from boragetrestle_sidecar.node_load import NodeLoad
from boragetrestle_sidecar.node_status import RouteCost
from boragetrestle_sidecar.organisation_policy import OrganisationPolicy
from boragetrestle_sidecar.outcome import (
    GuardLoad,
    Outcome,
    OutcomeKind,
    Reason,
)
from boragetrestle_sidecar.peer_frames import FrameKind, encode_frame
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
from boragetrestle_sidecar.route_policy import RoutePolicy, ServiceShare
from boragetrestle_sidecar.run_order import RunOrder
from boragetrestle_sidecar.target_notice import TargetNotice
from boragetrestle_sidecar.target_record import TargetRecord
from boragetrestle_sidecar.tree_messages import TreeReport

GOLDEN = Path(__file__).parent / 'golden'
FRAME_NUMBER = 7
SOURCE = '10.0.0.1:7000'
MEMBER = Member(address=SOURCE, domain='zone-a', service='walks')
NOTICE = TargetNotice(
    target='t-1',
    started_at=5000,
    rate_limit=2.5,
    is_leaving=True,
    drain_sequence=6,
)
EVACUATED = EvacuationState(
    epoch=3, is_complete=True, position=40, domains=('zone-b', 'zone-c')
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
    address=SOURCE,
    load=FleetLoad(
        nodes=2,
        arrivals={'browse': 12.5},
        services={
            'walks': ServiceLoad(
                slots=8.5,
                waiting_seconds=0.75,
                returning=ReturningSlots(slots=20.5, seconds=2.5),
            )
        },
        costs={
            'browse': CostSum(
                reports=1,
                seconds=0.25,
                runs=30.5,
                weighted_seconds=7.5,
                calls={'book': 1.25},
            )
        },
    ),
    version=5,
    digest=2**63 + 1,
    epoch=3,
    store_age=1.5,
    evacuations=EVACUATED,
)
NODE_LOAD = NodeLoad(
    address=SOURCE, domain='zone-a', service='walks', version=5, load=GUARD_LOAD
)
ROUTE_COSTS = [
    RouteCost(route='browse', calls={'book': 1.25}, run_seconds=0.25, runs=30.5)
]
TARGET_RECORD = TargetRecord(
    started_at=5000, sequence=6, left={'t-1': 4000}, left_by={'t-2': 4500}
)
SERVICE_RECORD = TargetRecord(5000, 6, service='walks')
FRAME_VALUES: dict[FrameKind, Any] = {
    FrameKind.HELLO: Hello(
        address=SOURCE, version=5, notice=NOTICE, evacuations=EVACUATED
    ),
    FrameKind.RUN: RunOrder(
        service='walks',
        route='browse',
        organisation='acacia',
        request_id=RequestId(b'r-1'),
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
        kind=OutcomeKind.REJECTED,
        reason=Reason.TARGET_REJECTED,
        status=503,
        head=b'content-length: 4\r\n',
        body=b'full',
        retry_after=0.5,
        load=GUARD_LOAD,
    ),
    FrameKind.LOAD: NODE_LOAD,
    FrameKind.CONFIGURATION: Document(b'{"Version": 5}'),
    FrameKind.ASK_TOKENS: TokenMessage(organisation='acacia', tokens=2.5),
    FrameKind.GRANT_TOKENS: TokenMessage(organisation='acacia', tokens=1.5),
    FrameKind.SUSPECT: Crash(
        source=SOURCE, crash=2**40 + 1, found='c0ffee', has_crashed=True
    ),
    FrameKind.PING: Ping(100.5),
    FrameKind.ASK_CONFIGURATION: KnownVersion(4),
    FrameKind.PONG: NODE_LOAD,
    FrameKind.TREE_LOAD: REPORT,
    FrameKind.TREE_TOTAL: REPORT,
    FrameKind.ROWS: Rows(
        source=SOURCE,
        rows=[
            MemberRow(
                address=SOURCE, epoch=3, version=41, content=MEMBER.encode()
            ),
            MemberRow('10.0.0.2:7000', 2, 40, None),
        ],
    ),
    FrameKind.EVACUATIONS: EvacuationMessage(source=SOURCE, state=EVACUATED),
}
# What this build reads from golden files that it no longer writes, by their name.
EARLIER_FRAMES: dict[str, Any] = {}
# Operators write configurations; nodes pass them on as they are.
CONFIGURATION = Configuration(
    version=Version(5),
    document=(GOLDEN / 'document-configuration.json').read_bytes(),
    routes=[
        RoutePolicy(
            RouteName('browse'),
            'example',
            '/walks/',
            (
                ServiceShare(ServiceName('walks'), 90.0),
                ServiceShare(ServiceName('tours'), 10.0),
            ),
            may_repeat=True,
            time_limit=0.75,
            goal=0.25,
            max_attempts=3,
            priority=2,
            needs_key=False,
            regions=frozenset((RegionName('north'),)),
        ),
    ],
    organisations=[
        OrganisationPolicy(
            Organisation('acacia', rate=50.5, burst=100),
            frozenset((digest_key('key-1'), digest_key('key-2'))),
            priority=1,
            is_limited=True,
            regions=frozenset((RegionName('south'),)),
        ),
    ],
    limits=CallerLimits(8192, 1_000_000, 2.5, 12.5),
    cold_rates={ServiceName('walks'): 2.5},
    services=[ServiceName('seats')],
)
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


def written_files() -> dict[str, str]:
    """Return what this build writes, by the name of the golden file."""
    frames = {
        f'frame-{kind.name.lower().replace("_", "-")}.hex': encode_frame(
            kind, FRAME_NUMBER, value
        )
        for kind, value in FRAME_VALUES.items()
    }
    return {
        **{name: frame.hex('\n', -32) for name, frame in frames.items()},
        'row-node.json': MEMBER.encode().decode(),
        'row-costs.json': encode_costs(ROUTE_COSTS).decode(),
        'row-target.json': TARGET_RECORD.encode().decode(),
        'row-target-service.json': SERVICE_RECORD.encode().decode(),
    }


def write_missing_files() -> None:
    """Write golden files that are missing; others stay as they are."""
    for name, text in written_files().items():
        path = GOLDEN / name
        if not path.exists():
            path.write_text(f'{text}\n')


if __name__ == '__main__':
    write_missing_files()
