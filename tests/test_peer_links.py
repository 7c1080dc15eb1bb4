"""Links between nodes."""

import msgspec
import trio
from builders import running_fleet

from boragetrestle_kernel.address import Address
from boragetrestle_kernel.ids import NodeId
from boragetrestle_kernel.peer_message import peer_message
from boragetrestle_kernel.timeline import EventKind
from boragetrestle_node.peer_proof import PeerProver
from boragetrestle_standin.host_plan import HostPlan

_PLANS = (HostPlan('walks'), HostPlan('walks'))


@peer_message('test-echo')
class Echo(msgspec.Struct, frozen=True):
    """Ask for the same message back."""

    text: str


async def _echo(_sender: NodeId, message: Echo) -> Echo:
    await trio.lowlevel.checkpoint()
    return message


async def test_question_gets_its_reply(autojump_clock):
    async with running_fleet(_PLANS) as run:
        near, far = (host.node for host in run.fleet.hosts)
        far.links.on(Echo, _echo)
        address = Address.parse(far.settings.listen.peers)
        replies = [
            await near.links.ask(address, Echo(text), timeout=1)
            for text in ('first', 'second')
        ]
    assert replies == [Echo('first'), Echo('second')]


async def test_peer_without_secret_is_rejected(autojump_clock):
    async with running_fleet(_PLANS) as run:
        near, far = (host.node for host in run.fleet.hosts)
        far.links.on(Echo, _echo)
        near.links.prover = PeerProver([b'another secret'])
        address = Address.parse(far.settings.listen.peers)
        near.links.close(address)
        reply = await near.links.ask(address, Echo('text'), timeout=5)
    kinds = {event.kind for event in far.timeline.other_events}
    assert reply is None
    assert EventKind.LINK_REJECTED in kinds


async def test_ask_without_listener_gives_none(autojump_clock):
    async with running_fleet(_PLANS[:1]) as run:
        links = run.fleet.hosts[0].node.links
        reply = await links.ask(Address('127.9.0.1', 1), Echo('x'), timeout=1)
    assert reply is None
