"""Acknowledgements of configuration versions by nodes."""

import trio
from builders import running_fleet

from boragetrestle.in_force import AckClient
from boragetrestle_standin.host_plan import HostPlan

_PLANS = [HostPlan('walks', domain=domain) for domain in 'aaabbbccc']


async def test_all_nodes_acknowledge_a_change(autojump_clock):
    async with running_fleet(_PLANS) as run:
        version = await run.operator.withdraw_key(run.key_id)
        started = trio.current_time()
        in_force = AckClient(run.operator, run.network)
        acks = await in_force.wait_until_in_force(version)
        waited = trio.current_time() - started
    assert acks.is_complete
    assert acks.reached == len(_PLANS)
    assert waited < 4


async def test_silent_node_is_named(autojump_clock):
    async with running_fleet(_PLANS) as run:
        frozen = run.fleet.hosts[4]
        run.network.faults.freeze(frozen.calls_address.host)
        version = await run.operator.withdraw_key(run.key_id)
        in_force = AckClient(run.operator, run.network)
        acks = await in_force.wait_until_in_force(version, timeout=4)
    named = {*acks.behind, *acks.unheard}
    assert not acks.is_complete
    assert named == {frozen.node.settings.node}


async def test_without_any_node_all_count_as_unheard(autojump_clock):
    async with running_fleet(_PLANS[:2]) as run:
        version = (await run.operator.state()).version
        for host in run.fleet.hosts:
            host.crash()
        in_force = AckClient(run.operator, run.network)
        acks = await in_force.wait_until_in_force(version, timeout=2)
    assert acks.unheard == ('node-1', 'node-2')
