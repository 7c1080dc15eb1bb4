"""Rotation of context and link secrets while calls run."""

import trio
from builders import READ, running_fleet, service, service_text

from boragetrestle.in_force import AckClient
from boragetrestle.secret_rotation import rotate_secret
from boragetrestle_kernel.change import SecretAdded, SecretRetired
from boragetrestle_node.peer_proof import PeerProver
from boragetrestle_standin.fleet import Answer
from boragetrestle_standin.host_plan import HostPlan, OnwardCall

_PATH = '/walks/items/1'
_TEXT = service_text(
    service('walks', 'gate', routes=(READ,)),
    service('gate', routes=(READ,)),
)
_PLANS = [
    HostPlan(
        'walks',
        domain=domain,
        work=0.5,
        onward=(OnwardCall('GET', '/gate/items/1'),),
    )
    for domain in 'abc'
] + [HostPlan('gate', domain=domain) for domain in 'abc']


async def test_rotation_refuses_no_call(autojump_clock):
    async with running_fleet(_PLANS, text=_TEXT) as run:
        run.network.faults.delay_of = lambda _source, _destination: 0.05
        answers: list[Answer] = []

        async def call() -> None:
            while True:
                for host in run.fleet.hosts[:3]:
                    answer = await run.fleet.call(host, _PATH, key=run.key)
                    answers.append(answer)

        async with trio.open_nursery() as nursery:
            nursery.start_soon(call)
            rotation = await rotate_secret(
                run.operator,
                AckClient(run.operator, run.network),
            )
            await trio.sleep(10)
            nursery.cancel_scope.cancel()
        state = await run.operator.state()
        gate_calls = [
            host.target.calls.total() for host in run.fleet.of_service('gate')
        ]
    assert {answer.status for answer in answers} == {200}
    assert sum(gate_calls) >= len(answers)
    assert rotation.retired
    assert list(state.secrets) == [2]


async def test_new_secret_signs_only_once_all_accept_it(autojump_clock):
    async with running_fleet(_PLANS, text=_TEXT) as run:
        ring = run.fleet.hosts[0].node.identifier.ring
        head = (await run.operator.state()).version
        await run.operator.append(SecretAdded(2, b'new'), head)
        await trio.sleep(2)
        assert ring.current().signing_number == 1
        assert 2 in ring.current().secrets
        await trio.sleep(8)
        assert ring.current().signing_number == 2
        head = (await run.operator.state()).version
        await run.operator.append(SecretRetired(1), head)
        await trio.sleep(2)
        assert 1 in ring.current().secrets
        await trio.sleep(30)
        assert 1 not in ring.current().secrets


async def test_rotation_keeps_old_secrets_if_a_node_is_silent(autojump_clock):
    async with running_fleet(_PLANS, text=_TEXT) as run:
        run.network.faults.freeze(run.fleet.hosts[4].ip)
        rotation = await rotate_secret(
            run.operator,
            AckClient(run.operator, run.network),
            timeout=4,
        )
        state = await run.operator.state()
    assert not rotation.retired
    assert not rotation.acks.is_complete
    assert sorted(state.secrets) == [1, 2]


async def test_link_secrets_rotate_without_a_lost_peer(autojump_clock):
    old, new = b'stand-in fleet secret', b'next secret'
    steps = [(old, new), (new, old), (new,)]
    async with running_fleet(_PLANS, text=_TEXT) as run:
        for step in steps:
            for host in run.fleet.hosts:
                links = host.node.links
                links.prover = PeerProver(step)
                for address in list(links.links):
                    links.close(address)
                await trio.sleep(1)
            await trio.sleep(3)
            present = {
                host.node.control.members.present_count
                for host in run.fleet.hosts
            }
            assert present == {len(_PLANS)}
            assert not any(
                host.node.control.watch.is_isolated for host in run.fleet.hosts
            )
