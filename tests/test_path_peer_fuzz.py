"""Messages of peers of any shape end their connection and nothing else."""

import asyncio
import random
from contextlib import suppress
from functools import partial
from typing import Any

import cbor2
import pytest
from entry_builders import EntryHarness
from path_builders import (
    FakeTransport,
    GuardHarness,
    LineLog,
    organisation,
    run_order,
)
from tree_builders import ModelFleet

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.errors import WireError
from boragetrestle_sidecar.fleet_load import FleetLoad, ServiceLoad
from boragetrestle_sidecar.node_load import NodeLoad
from boragetrestle_sidecar.outcome import GuardLoad, Outcome, OutcomeKind
from boragetrestle_sidecar.peer_frames import (
    FrameKind,
    FrameReader,
    decode_fields,
    encode_frame,
)
from boragetrestle_sidecar.peer_link import PeerLink
from boragetrestle_sidecar.peer_messages import Hello
from boragetrestle_sidecar.peer_server import PeerConnection, PeerServer
from boragetrestle_sidecar.returning_slots import ReturningSlots
from boragetrestle_sidecar.tree_messages import TreeReport


def fail(*_arguments: Any) -> Any:
    """Fail as a step with a fault."""
    raise ValueError('a fault')


LONG_FRAME_BYTES = 70_000_000
_VALUES: tuple[Any, ...] = (
    None,
    True,
    -1,
    0,
    2**70,
    1.5,
    float('nan'),
    '',
    'text',
    b'\xff',
    [],
    [[]],
    {},
    {'a': 1},
    [1, 2, 3],
    ['10.0.0.1:7000', 0, 1, b'{}'],
)


def fields_of(chance: random.Random) -> Any:
    """Return fields of a random shape."""
    if chance.random() < 0.2:
        return chance.choice(_VALUES)
    return [chance.choice(_VALUES) for _ in range(chance.randint(0, 12))]


ODD_TIMES = (float('nan'), float('inf'), -float('inf'))


def cbor_frame(payload: Any) -> bytes:
    """Return a frame with any payload."""
    encoded = cbor2.dumps(payload)
    return len(encoded).to_bytes(4, 'big') + encoded


class Victim:
    """A node of a fleet, with connections from and to a peer."""

    def __init__(self) -> None:
        node = ModelFleet(3).running[0]
        self.log = LineLog()
        harness = EntryHarness()
        node.messages.rates = harness.rates
        node.messages.suspects = harness.suspects
        self.messages = node.messages
        guard = GuardHarness().guard
        self.server = PeerServer(guard, node.messages, self.log)

    def connection(self) -> tuple[PeerConnection, FakeTransport]:
        """Return a connection from a peer."""
        found = PeerConnection(self.server)
        transport: Any = FakeTransport()
        found.connection_made(transport)
        return found, transport

    def link(self) -> tuple[PeerLink, FakeTransport]:
        """Return a connection to a peer."""
        address = Address('127.0.0.1', 9)
        found = PeerLink(address, self.messages, self.log)
        transport: Any = FakeTransport()
        found.connection_made(transport)
        return found, transport


@pytest.mark.parametrize('seed', range(20))
def test_no_message_raises(seed: int) -> None:
    """An error in a handler would leave the node in an unknown state."""

    async def test() -> None:
        chance = random.Random(seed)
        victim = Victim()
        for _ in range(200):
            kind = chance.choice(list(FrameKind))
            sent = encode_frame(kind, chance.randint(0, 9), fields_of(chance))
            for receiver, transport in (victim.connection(), victim.link()):
                receiver.data_received(sent)
                refused = 'peer-frame-refused' in victim.log.kinds()
                assert refused or not transport.is_closed

    asyncio.run(test())


def test_unknown_kind_ends_only_its_connection() -> None:
    """A newer build may send what this one does not know."""

    async def test() -> None:
        victim = Victim()
        broken, broken_transport = victim.connection()
        _whole, whole_transport = victim.connection()
        broken.data_received(cbor_frame((99, 0, [])))
        assert broken_transport.is_closed
        assert not whole_transport.is_closed
        assert victim.log.kinds() == ['peer-frame-refused']

    asyncio.run(test())


# Guards against bytes of a stranger that are kept for one endless frame.
@pytest.mark.parametrize('is_peer', [False, True])
def test_long_frame_is_read_from_peers_only(*, is_peer: bool) -> None:
    """A peer greets before it sends a run with a large body."""

    async def test() -> None:
        victim = Victim()
        connection, transport = victim.connection()
        if is_peer:
            greeting = victim.messages.hello_fields(Address('127.0.0.1', 9))
            connection.data_received(encode_frame(FrameKind.HELLO, 0, greeting))
        connection.data_received(LONG_FRAME_BYTES.to_bytes(4, 'big'))
        assert transport.is_closed is not is_peer

    asyncio.run(test())


@pytest.mark.parametrize('depth', [10, 399, 100_000])
def test_frame_that_is_nested_deeply_is_a_typed_error(depth: int) -> None:
    """Whether its bytes or its fields cannot be decoded."""
    payload = b'\x83\x00\x00' + b'\x81' * depth + b'\x00'
    with pytest.raises(WireError):
        for frame in FrameReader().feed(
            len(payload).to_bytes(4, 'big') + payload
        ):
            decode_fields(frame, Hello)


# Guards against a run whose times are no numbers, and that drops the link of
# other runs or keeps a slot for good.
@pytest.mark.parametrize('odd', ODD_TIMES)
@pytest.mark.parametrize('field', ['sent_at', 'time_left', 'goal_left'])
def test_run_with_an_odd_time_is_refused_alone(field: str, odd: float) -> None:
    """The run after it is sent."""
    victim = Victim()
    connection, transport = victim.connection()
    changed: dict[str, Any] = {field: odd}
    orders = run_order('r-1')._replace(**changed), run_order('r-2')
    for number, order in enumerate(orders):
        connection.data_received(encode_frame(FrameKind.RUN, number, order))
    assert not transport.is_closed
    assert [job.order.request_id for job in victim.server.guard.jobs] == [
        b'r-2'
    ]
    assert victim.server.guard.running == 1
    assert transport.written


# Guards against frames that leave the callback of a connection as an exception.
@pytest.mark.parametrize(
    'sent',
    [
        cbor_frame((FrameKind.OUTCOME, [], [])),
        cbor_frame((FrameKind.CANCEL, {}, [])),
        *(
            encode_frame(FrameKind.GRANT_TOKENS, 1, ['acacia', odd])
            for odd in ODD_TIMES
        ),
    ],
)
def test_odd_frame_is_refused_with_its_reason(sent: bytes) -> None:
    """Both ends of a connection log what they refuse."""

    async def test() -> None:
        victim = Victim()
        ends = [victim.connection(), victim.link()]
        for receiver, _transport in ends:
            receiver.data_received(sent)
        closed = [transport.is_closed for _receiver, transport in ends]
        assert any(closed)
        refused = victim.log.kinds().count('peer-frame-refused')
        assert refused == closed.count(True)

    asyncio.run(test())


ODD_NUMBERS = tuple(
    pytest.param(odd, id=name)
    for name, odd in (
        ('nan', float('nan')),
        ('inf', float('inf')),
        ('negative', -1.0),
        ('huge', 10**400),
    )
)


# Guards against a node that draws all requests, or fails each that is compared
# with it, by a number that no load has.
@pytest.mark.parametrize('odd', ODD_NUMBERS)
@pytest.mark.parametrize(
    'field',
    ['running', 'waiting', 'limit', 'run_seconds', 'failing_share'],
)
def test_load_with_an_odd_number_is_refused(field: str, odd: float) -> None:
    """Whether it comes alone or with an outcome."""
    changed: dict[str, Any] = {field: odd}
    load = GuardLoad()._replace(**changed)
    outcome = Outcome(OutcomeKind.UNKNOWN, load=load)
    for kind, fields in (
        (FrameKind.LOAD, ['10.0.0.1:7000', 'a', 'walks', 1, load]),
        (FrameKind.OUTCOME, outcome),
    ):
        (frame,) = FrameReader().feed(encode_frame(kind, 1, fields))
        with pytest.raises(WireError):
            decode_fields(
                frame, NodeLoad if kind is FrameKind.LOAD else Outcome
            )


# Guards against a total that refuses the callers of a whole fleet.
@pytest.mark.parametrize('odd', ODD_NUMBERS)
@pytest.mark.parametrize('place', range(4))
def test_report_with_an_odd_number_is_refused(place: int, odd: float) -> None:
    """Sums over the fleet would keep it."""
    numbers = [1.0, 1.0, 1.0, 1.0]
    numbers[place] = odd
    rate, slots, seconds, age = numbers
    returning = ReturningSlots(1.0, seconds)
    services = {'walks': ServiceLoad(slots, returning=returning)}
    load = FleetLoad(1, {'browse': rate}, services)
    report = TreeReport('10.0.0.1:7000', load, 1, 0, 1, age)
    (frame,) = FrameReader().feed(encode_frame(FrameKind.TREE_LOAD, 0, report))
    with pytest.raises(WireError):
        decode_fields(frame, TreeReport)


# Guards against a caller that is told to come back in an endless time.
@pytest.mark.parametrize('odd', ODD_NUMBERS)
def test_outcome_with_an_odd_retry_time_is_refused(odd: float) -> None:
    """The time goes into a header of its answer."""
    outcome = Outcome(OutcomeKind.NOT_SENT, retry_after=odd)
    (frame,) = FrameReader().feed(encode_frame(FrameKind.OUTCOME, 1, outcome))
    with pytest.raises(WireError):
        decode_fields(frame, Outcome)


# Guards against a fault in one message that ends all runs of its link.
def test_message_that_cannot_be_handled_leaves_the_link_open() -> None:
    """Runs that are sent behind it are run."""
    victim = Victim()
    fleet: Any = victim.messages.fleet
    fleet.update_load = fail
    load = ['10.0.0.1:7000', 'a', 'walks', 1, GuardLoad()]
    sent = encode_frame(FrameKind.LOAD, 0, load)
    run = encode_frame(FrameKind.RUN, 1, run_order())
    for receiver, transport in (victim.connection(), victim.link()):
        receiver.data_received(sent + run)
        assert not transport.is_closed
    assert victim.server.guard.running == 1


# Guards against an entry that waits for an outcome until the time limit.
def test_outcome_that_cannot_be_encoded_is_reported_as_unknown() -> None:
    """Its run has ended."""
    victim = Victim()
    connection, transport = victim.connection()
    sent = encode_frame(FrameKind.RUN, 1, run_order())
    connection.data_received(sent)
    (job,) = victim.server.guard.jobs
    job.reply(Outcome(OutcomeKind.ANSWERED, head=object()))  # type: ignore[arg-type]
    (frame,) = FrameReader().feed(transport.written)
    assert decode_fields(frame, Outcome).kind is OutcomeKind.UNKNOWN


# Guards against runs that are forgotten when their link is lost.
def test_runs_of_a_lost_link_end_although_its_loss_cannot_be_noted() -> None:
    """Their callers get an answer at once."""
    victim = Victim()
    link, _transport = victim.link()
    ended: list[Outcome] = []
    link.run(run_order(), ended.append)
    fleet: Any = victim.messages.fleet
    fleet.mark_unreachable = fail
    with pytest.raises(ValueError, match='fault'):
        link.connection_lost(None)
    assert [outcome.kind for outcome in ended] == [OutcomeKind.UNKNOWN]


# Guards against requests that wait for tokens behind a question never asked.
def test_question_for_tokens_that_fails_decides_the_requests() -> None:
    """The next requests of the organisation are decided as well."""
    gate = EntryHarness().rates
    gate.shares.set_nodes(['a', 'b'])
    gate.link_of = fail
    decided: list[str] = []
    for name in ('r-1', 'r-2'):
        with suppress(ValueError):
            gate.request_tokens(organisation(), partial(decided.append, name))
    assert decided == ['r-1', 'r-2']
