"""Replacement and restart of whole fleets."""

from collections import Counter

import trio
from builders import RunningFleet, running_fleet

from boragetrestle_kernel.ids import Incarnation, ServiceName
from boragetrestle_platform.table import Committed, Transaction
from boragetrestle_standin.host_plan import HostPlan

_PLANS = [HostPlan('walks', domain=domain) for domain in 'aaabbbccc']
_WALKS = ServiceName('walks')
_PATH = '/walks/items/1'


async def _assert_whole(run: RunningFleet) -> None:
    version = (await run.operator.state()).version
    for host in run.fleet.hosts:
        answer = await run.fleet.call(host, _PATH, key=run.key)
        assert answer.status == 200
        assert len(host.node.directory.ready(_WALKS)) == len(run.fleet.hosts)
        assert host.node.state.version == version


async def test_every_node_is_replaced_one_by_one(autojump_clock):
    async with running_fleet(_PLANS) as run:
        for host in list(run.fleet.hosts):
            await host.node.membership.drain()
            await trio.sleep(1)
            await host.node.give_back()
            await host.node.membership.leave()
            host.crash()
            run.fleet.hosts.remove(host)
            await run.fleet.add(host.plan, run.nursery)
            answer = await run.fleet.call(
                run.fleet.hosts[0],
                _PATH,
                key=run.key,
            )
            assert answer.status == 200
        await trio.sleep(4)
        await _assert_whole(run)


async def test_fleet_restarted_in_an_outage_comes_back(autojump_clock):
    async with running_fleet(_PLANS) as run:
        run.store.is_down = True
        await trio.sleep(5)
        hosts = list(run.fleet.hosts)
        for host in hosts:
            host.crash()
        await trio.sleep(1)
        peers = tuple(str(host.addresses.peers) for host in hosts[:3])
        for host in hosts:
            await run.fleet.restart(host, run.nursery, peers=peers)
        await trio.sleep(30)
        known = {
            len(host.node.directory.ready(_WALKS)) for host in run.fleet.hosts
        }
        assert known == {len(hosts)}
        run.store.is_down = False
        await trio.sleep(6)
        await _assert_whole(run)


async def test_writes_are_spread_when_the_store_returns(
    autojump_clock,
    monkeypatch,
):
    plans = [HostPlan('walks', domain='abc'[at % 3]) for at in range(24)]
    async with running_fleet(plans) as run:
        run.store.is_down = True
        for host in run.fleet.hosts:
            record = host.node.membership.record
            accused = Incarnation(record.incarnation + 1)
            host.node.membership.refute(accused, record.liveness)
        await trio.sleep(20)
        commits: Counter[int] = Counter()
        commit_now = run.table.commit_now

        def count(transaction: Transaction) -> Committed:
            commits[int(trio.current_time())] += 1
            return commit_now(transaction)

        monkeypatch.setattr(run.table, 'commit_now', count)
        run.store.is_down = False
        await trio.sleep(30)
    assert commits.total() >= len(plans)
    assert max(commits.values()) <= len(plans) / 3
