"""Who makes a call, and what a context header is worth."""

import msgspec
import pytest
import trio
from builders import READ, running_fleet, service, service_text

from boragetrestle_kernel.context import HEADER, ContextSigner
from boragetrestle_kernel.http_fields import find_field
from boragetrestle_standin.host_plan import HostPlan, OnwardCall

_PATH = '/walks/items/7'
_TEXT = service_text(
    service('walks', 'gate', routes=(READ,)),
    service('gate', routes=(READ,)),
)
_PLANS = [HostPlan('walks'), HostPlan('gate')]


async def _seen_context(run):
    """Make a call and return the context that its target got."""
    walks = run.fleet.hosts[0]
    await run.fleet.call(walks, _PATH, key=run.key)
    return find_field(walks.target.last_fields, HEADER)


async def test_context_is_believed_from_its_own_target_only(autojump_clock):
    async with running_fleet(_PLANS, text=_TEXT) as run:
        walks, gate = run.fleet.hosts
        fields = [(HEADER, await _seen_context(run))]
        own = walks.target.address.host
        cases = {
            'own target': (walks, own),
            'other host': (walks, '127.2.0.1'),
            'node of another service': (gate, gate.target.address.host),
        }
        answers = {
            name: await run.fleet.call(
                host, '/gate/items/1', fields=fields, caller=caller
            )
            for name, (host, caller) in cases.items()
        }
    assert {name: answer.status for name, answer in answers.items()} == {
        'own target': 200,
        'other host': 401,
        'node of another service': 401,
    }


async def test_forged_and_expired_contexts_are_refused(autojump_clock):
    async with running_fleet(_PLANS, text=_TEXT) as run:
        walks = run.fleet.hosts[0]
        header = await _seen_context(run)
        signer = walks.node.identifier.signer()
        context = signer.verify(header, now=0)
        forged = ContextSigner({1: b'guess'}).sign(context)
        expired = signer.sign(msgspec.structs.replace(context, deadline=1.0))
        answers = [
            await run.fleet.call(
                walks,
                '/gate/items/1',
                fields=[(HEADER, shown)],
                caller=walks.target.address.host,
            )
            for shown in (forged, expired, header[:-2], b'', b'1.!.!')
        ]
        calls = run.fleet.hosts[1].target.calls.total()
    assert [answer.status for answer in answers] == [401] * 5
    assert {answer.body for answer in answers} == {answers[0].body}
    assert calls == 0


async def test_callers_copy_of_a_context_is_dropped(autojump_clock):
    async with running_fleet(_PLANS, text=_TEXT) as run:
        walks = run.fleet.hosts[0]
        header = await _seen_context(run)
        answer = await run.fleet.call(
            walks, _PATH, key=run.key, fields=[(HEADER, header)]
        )
        fields = walks.target.last_fields
    sent = [content for name, content in fields if name == HEADER]
    assert answer.status == 200
    assert len(sent) == 1
    assert sent != [header]


@pytest.mark.parametrize(
    'path',
    (
        '/walks/items/..',
        '/walks/items/%2e%2E',
        '/walks/./7',
        '/walks/items/a%2fb',
        '/walks/items/a%5Cb',
        r'/walks/items/a\b',
    ),
)
async def test_paths_with_two_readings_are_refused(autojump_clock, path):
    async with running_fleet(_PLANS, text=_TEXT) as run:
        walks = run.fleet.hosts[0]
        answer = await run.fleet.call(walks, path, key=run.key)
    assert answer.code == 'bad-request'
    assert walks.target.calls.total() == 0


async def test_key_is_asked_for_again_on_an_open_connection(autojump_clock):
    plans = [HostPlan('walks', onward=(OnwardCall('GET', '/gate/items/1'),))]
    async with running_fleet([*plans, HostPlan('gate')], text=_TEXT) as run:
        walks = run.fleet.hosts[0]
        before = await run.fleet.call(walks, _PATH, key=run.key)
        await run.operator.withdraw_key(run.key_id)
        await trio.sleep(4)
        after = await run.fleet.call(walks, _PATH, key=run.key)
    assert (before.status, after.status) == (200, 401)
