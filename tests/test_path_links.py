"""Links between nodes: when they are pinged and when they are dropped."""

import asyncio
from collections import Counter
from collections.abc import Callable
from typing import Any

import cbor2
import pytest
from entry_builders import EntryHarness, node_load, request_bytes
from path_builders import FakeTransport, LineLog, run_order

from boragetrestle_kernel.address import Address
from boragetrestle_sidecar.answer_buffers import (
    SMALL_ANSWER_BYTES,
    AnswerBuffers,
)
from boragetrestle_sidecar.outcome import Outcome, OutcomeKind, Reason
from boragetrestle_sidecar.peer_frames import (
    FrameKind,
    FrameReader,
    encode_frame,
)
from boragetrestle_sidecar.peer_link import PeerLink
from boragetrestle_sidecar.steady_clock import steady_now

LINKS = 16
PART_BYTES = 100_000
LONG_BYTES = 2_000_000
ANSWERS_BYTES = 8_000_000


class _Messages:
    """A message handler of a node without a fleet."""

    def hello_fields(self, _peer: Any) -> list[Any]:
        """Return the fields of the first message on a connection."""
        return ['a', 0, []]

    def handle(self, *_args: object) -> None:
        """Ignore a message."""

    def mark_unreachable(self, _peer: Address) -> None:
        """Ignore the end of a link."""


class _Peer:
    """A link whose peer answers only when a test says so."""

    def __init__(self, answers: AnswerBuffers | None = None) -> None:
        messages: Any = _Messages()
        address = Address('127.0.0.1', 9)
        self.link = PeerLink(address, messages, LineLog(), answers)
        self.transport = FakeTransport()
        transport: Any = self.transport
        self.link.connection_made(transport)
        self.outcomes: list[Outcome] = []
        self.pong()

    def run(self) -> None:
        """Send a run."""
        self.link.run(run_order(), self.outcomes.append)

    def pong(self) -> None:
        """Let the peer answer a ping."""
        self.link.data_received(encode_frame(FrameKind.PONG, 0, ()))

    async def pings(self) -> int:
        """Return how many pings were sent."""
        await asyncio.sleep(0)
        frames = FrameReader().feed(self.transport.written)
        return sum(frame.kind is FrameKind.PING for frame in frames)


def run_with_peer(test: Callable[[_Peer], Any]) -> None:
    """Run a test with an open link."""

    async def run() -> None:
        await test(_Peer())

    asyncio.run(run())


def test_idle_link_costs_few_messages() -> None:
    """Every two nodes have a link, so pings on idle ones must be rare."""

    async def test(peer: _Peer) -> None:
        now = steady_now()
        before = await peer.pings()
        for step in range(100):
            peer.link.check_liveness(now + step / 10)
            peer.pong()
            peer.link.received_at = now + step / 10 // 3 * 3
        assert await peer.pings() - before <= 4

    run_with_peer(test)


def test_idle_link_is_kept() -> None:
    """Silence of a peer that owes no reply is no sign of a failure."""

    async def test(peer: _Peer) -> None:
        peer.link.check_liveness(steady_now() + 2)
        assert not peer.transport.is_closed

    run_with_peer(test)


# Guards against an answer without a status from a node of an earlier build.
@pytest.mark.parametrize('status', [-1, 0, 99, 600, 999])
def test_answer_without_a_status_is_unknown_and_the_link_stays(
    status: int,
) -> None:
    """The target may have run the request; other runs go on."""

    async def test(peer: _Peer) -> None:
        peer.run()
        answer = Outcome(OutcomeKind.ANSWERED, status=status, body=b'x')
        number = peer.link.last_number
        peer.link.data_received(encode_frame(FrameKind.OUTCOME, number, answer))
        (outcome,) = peer.outcomes
        assert outcome.kind is OutcomeKind.UNKNOWN
        assert outcome.reason is Reason.ANSWER_GARBLED
        assert not outcome.body
        assert not peer.transport.is_closed

    run_with_peer(test)


def test_peer_that_owes_an_outcome_is_pinged_and_dropped() -> None:
    """A host that has lost power sends no reset; only silence shows it."""

    async def test(peer: _Peer) -> None:
        before = await peer.pings()
        peer.run()
        now = steady_now()
        peer.link.check_liveness(now + 0.3)
        assert await peer.pings() == before + 1
        assert peer.link.unanswered_seconds(now + 1) > 0.9
        peer.link.check_liveness(now + 2)
        assert peer.transport.is_closed

    run_with_peer(test)


def test_runs_of_a_dropped_peer_may_have_run() -> None:
    """The peer may have sent them to its target before it went silent."""

    async def test(peer: _Peer) -> None:
        peer.run()
        peer.link.connection_lost(None)
        (outcome,) = peer.outcomes
        assert outcome.kind is OutcomeKind.UNKNOWN
        assert outcome.reason is Reason.LINK_LOST

    run_with_peer(test)


def test_long_run_does_not_make_its_peer_silent() -> None:
    """The peer answers pings while the run goes on."""

    async def test(peer: _Peer) -> None:
        peer.run()
        for step in range(40):
            now = steady_now() + step / 10
            peer.link.check_liveness(now)
            peer.pong()
            peer.link.received_at = now
            assert peer.link.unanswered_seconds(now) < 0.7
        assert not peer.transport.is_closed

    run_with_peer(test)


# Guards against guards that look ever fuller as callers leave.
def test_cancelled_run_is_no_longer_counted_at_its_guard() -> None:
    """Nothing else would tell that it is over: its outcome is not reported."""
    peer = _Peer()
    number = peer.link.run(run_order(), peer.outcomes.append)
    peer.link.cancel(number)
    assert [outcome.reason for outcome in peer.outcomes] == [Reason.CALLER_GONE]
    frames = FrameReader().feed(peer.transport.written)
    assert frames[-1].kind is FrameKind.CANCEL
    assert frames[-1].number == number


def test_caller_that_left_leaves_no_run_behind_in_the_view() -> None:
    """The view would count it until the link is lost."""
    bench = EntryHarness()
    bench.clock.now = steady_now()  # the link's clock
    peer = _Peer()
    bench.fleet.add('a', peer.link)
    bench.fleet.update_load(node_load('a'))
    bench.fleet.update_load(
        node_load('b')._replace(load=node_load('b').load._replace(running=900))
    )
    for number in range(5):
        connection, _transport = bench.connect()
        connection.data_received(request_bytes(f'r-{number}'))
        connection.connection_lost(None)
    assert not bench.hops['b'].sent
    assert not bench.fleet.views['a'].unconfirmed_runs


# Guards against links that hold a long answer each.
def test_answers_on_many_links_are_bounded_together() -> None:
    """The longest is given up, and its link goes on with the next."""

    async def test(_peer: _Peer) -> None:
        answers = AnswerBuffers(ANSWERS_BYTES)
        peers = [_Peer(answers) for _ in range(LINKS)]
        outcome = Outcome(
            OutcomeKind.ANSWERED, status=200, body=bytes(LONG_BYTES)
        )
        for peer in peers:
            peer.run()
        sent = encode_frame(FrameKind.OUTCOME, 1, outcome)
        for start in range(0, len(sent), PART_BYTES):
            for peer in peers:
                peer.link.data_received(sent[start : start + PART_BYTES])
            held = sum(len(peer.link.reader.buffer) for peer in peers)
            assert held <= ANSWERS_BYTES + LINKS * SMALL_ANSWER_BYTES
        kinds = Counter(peer.outcomes[0].kind for peer in peers)
        assert kinds[OutcomeKind.ANSWERED]
        assert kinds.total() == LINKS
        for peer in peers:
            peer.run()
            whole = Outcome(OutcomeKind.ANSWERED, status=200, body=b'whole')
            encoded = encode_frame(FrameKind.OUTCOME, 2, whole)
            peer.link.data_received(encoded)
            assert peer.outcomes[1].body == b'whole'

    run_with_peer(test)


# Guards against a frame that ends the link on which another one arrives.
@pytest.mark.parametrize('number', [[], {}, 1.5])
def test_skipped_frame_with_an_odd_number_ends_its_link_alone(
    number: Any,
) -> None:
    """The longest frame is skipped, whichever link receives."""

    async def test(_peer: _Peer) -> None:
        answers = AnswerBuffers(ANSWERS_BYTES)
        odd, whole = _Peer(answers), _Peer(answers)
        payload = cbor2.dumps((FrameKind.OUTCOME, number, [bytes(LONG_BYTES)]))
        sent = len(payload).to_bytes(4, 'big') + payload
        odd.link.data_received(sent[:-1])
        answers.limit = 0
        whole.run()
        outcome = Outcome(
            OutcomeKind.ANSWERED, status=200, body=bytes(LONG_BYTES)
        )
        encoded = encode_frame(FrameKind.OUTCOME, 1, outcome)
        whole.link.data_received(encoded[: LONG_BYTES // 2])
        assert odd.transport.is_closed
        assert not whole.transport.is_closed

    run_with_peer(test)


# Guards against runs that are kept although they were never sent.
def test_run_that_cannot_be_encoded_is_forgotten() -> None:
    """Its body would be held until the link ends."""

    async def test(peer: _Peer) -> None:
        odd: Any = object()
        with pytest.raises(cbor2.CBOREncodeError):
            peer.link.run(run_order()._replace(route=odd), peer.outcomes.append)
        assert not peer.link.replies

    run_with_peer(test)


# Guards against configurations that are skipped as if they were answers.
def test_large_configuration_is_read_while_answers_fill_the_memory() -> None:
    """It is not sent again for some time."""

    async def test(_peer: _Peer) -> None:
        peer = _Peer(AnswerBuffers(0))
        handled: list[Any] = []
        messages: Any = peer.link.messages
        messages.handle = lambda frame, *_others: handled.append(frame.kind)
        sent = encode_frame(FrameKind.CONFIGURATION, 0, [bytes(LONG_BYTES)])
        for start in range(0, len(sent), PART_BYTES):
            peer.link.data_received(sent[start : start + PART_BYTES])
        assert handled == [FrameKind.CONFIGURATION]

    run_with_peer(test)
