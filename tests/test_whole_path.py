"""The whole path of a call on real node code in memory."""

import pytest
import trio
from builders import READ, organisation, running_fleet, service, service_text

from boragetrestle_kernel.context import HEADER
from boragetrestle_kernel.errors import IncompleteAnswerError
from boragetrestle_kernel.http_fields import find_field
from boragetrestle_standin.host_plan import HostPlan, OnwardCall

_PLANS = (HostPlan('walks'), HostPlan('walks', domain='b'))
_PATH = '/walks/items/7'
_IN_FORCE_SECONDS = 4


async def test_call_returns_whole_answer(autojump_clock):
    async with running_fleet([HostPlan('walks', body=b'x' * 100_000)]) as run:
        answer = await run.fleet.call(
            run.fleet.hosts[0],
            _PATH,
            key=run.key,
        )
    assert answer.status == 200
    assert answer.body == b'x' * 100_000


async def test_target_gets_context_in_place_of_key(autojump_clock):
    async with running_fleet(_PLANS[:1]) as run:
        host = run.fleet.hosts[0]
        await run.fleet.call(host, _PATH, key=run.key)
    names = {name for name, _ in host.target.last_fields}
    assert b'authorization' not in names
    assert HEADER in names
    shown = b''.join(content for _, content in host.target.last_fields)
    assert run.key.encode() not in shown


async def test_unknown_and_missing_keys_are_refused_alike(autojump_clock):
    async with running_fleet(_PLANS[:1]) as run:
        host = run.fleet.hosts[0]
        missing = await run.fleet.call(host, _PATH)
        unknown = await run.fleet.call(host, _PATH, key='bt_wrong')
    assert missing.status == unknown.status == 401
    assert missing.code == unknown.code == 'not-authorised'
    assert host.target.calls.total() == 0


async def test_open_route_needs_no_key(autojump_clock):
    async with running_fleet(_PLANS[:1]) as run:
        answer = await run.fleet.call(run.fleet.hosts[0], '/walks/open')
    assert answer.status == 200


async def test_withdrawn_key_stops_working_everywhere(autojump_clock):
    async with running_fleet(_PLANS) as run:
        await run.operator.withdraw_key(run.key_id)
        await trio.sleep(_IN_FORCE_SECONDS)
        answers = [
            await run.fleet.call(host, _PATH, key=run.key)
            for host in run.fleet.hosts
        ]
    assert [answer.status for answer in answers] == [401, 401]


async def test_drained_target_gets_no_new_calls(autojump_clock):
    async with running_fleet(_PLANS) as run:
        drained, other = run.fleet.hosts
        await drained.node.membership.drain()
        await trio.sleep(2)
        before = drained.target.calls.total()
        for _ in range(20):
            answer = await run.fleet.call(other, _PATH, key=run.key)
            assert answer.status == 200
    assert drained.target.calls.total() == before


async def test_rate_is_refused_with_time_to_come_back(autojump_clock):
    text = service_text(organisations=[organisation(rate=1, burst=3)])
    async with running_fleet(_PLANS[:1], text=text) as run:
        answers = [
            await run.fleet.call(run.fleet.hosts[0], _PATH, key=run.key)
            for _ in range(5)
        ]
    assert [answer.status for answer in answers] == [200] * 3 + [429] * 2
    assert answers[-1].run_state == 'not-run'
    assert find_field(answers[-1].fields, b'retry-after')


async def test_onward_call_keeps_organisation(autojump_clock):
    text = service_text(
        service('walks', 'gate', routes=(READ,)),
        service('gate', routes=(READ,)),
    )
    plans = [
        HostPlan('walks', onward=(OnwardCall('GET', '/gate/items/1'),)),
        HostPlan('gate'),
    ]
    async with running_fleet(plans, text=text) as run:
        answer = await run.fleet.call(run.fleet.hosts[0], _PATH, key=run.key)
    assert answer.status == 200
    assert run.fleet.hosts[1].target.calls['/gate/items/1'] == 1


async def test_forged_context_is_refused(autojump_clock):
    async with running_fleet(_PLANS[:1]) as run:
        answer = await run.fleet.call(
            run.fleet.hosts[0],
            _PATH,
            fields=[(HEADER, b'1.e30=.00')],
        )
    assert answer.status == 401


async def test_cut_answer_is_not_passed_on_as_whole(autojump_clock):
    async with running_fleet([HostPlan('walks', body=b'x' * 1000)]) as run:
        host = run.fleet.hosts[0]
        host.target.faults.cut_after = 10
        with pytest.raises(IncompleteAnswerError):
            await run.fleet.call(host, _PATH, key=run.key)
