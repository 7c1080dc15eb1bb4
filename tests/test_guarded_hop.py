"""Test the hop of a call through the guard of its target."""

import msgspec
import trio
from builders import READ, WRITE, running_fleet, service, service_text

from boragetrestle_kernel.context import HEADER, CallContext, ContextPurpose
from boragetrestle_kernel.http_fields import find_field
from boragetrestle_node.policies import Policies
from boragetrestle_standin.host_plan import HostPlan

_GUARDED = Policies(slots='guarded', limit='fixed', queue='fifo')
_PATH = '/walks/items/7'
_TEXT = service_text(
    service('walks', routes=(READ, WRITE)),
    service('gate', routes=(READ,)),
)


def _plans(**plan):
    return [HostPlan('gate'), HostPlan('walks', **plan)]


async def _call(run, **arguments):
    return await run.fleet.call(
        run.fleet.hosts[0],
        arguments.pop('path', _PATH),
        key=run.key,
        **arguments,
    )


async def _call_many(run, count, **arguments):
    answers = []

    async def call():
        answers.append(await _call(run, **arguments))

    async with trio.open_nursery() as nursery:
        for _ in range(count):
            nursery.start_soon(call)
    return answers


def _hop_context(run, **changes):
    """Sign a context as a node or target of the fleet would get it."""
    identifier = run.fleet.hosts[0].node.identifier
    now = identifier.clock.wall()
    context = CallContext('c', 'acacia', 'k', 'walks', 1, now + 9, 3)
    return identifier.signer().sign(
        msgspec.structs.replace(context, **changes),
    )


async def test_call_passes_the_guard_with_its_context(autojump_clock):
    async with running_fleet(_plans(), text=_TEXT, policies=_GUARDED) as run:
        answer = await _call(
            run, path='/walks/orders', method='POST', body=b'x'
        )
        target = run.fleet.hosts[1].target
    header = find_field(target.last_fields, HEADER)
    identifier = run.fleet.hosts[0].node.identifier
    context = identifier.signer().verify(header, now=0)
    assert (answer.status, answer.body) == (200, b'ok')
    assert target.calls.total() == 1
    assert context.purpose is ContextPurpose.ONWARD
    assert (context.depth, context.organisation) == (1, 'acacia')


async def test_running_calls_never_pass_the_slots(autojump_clock):
    async with running_fleet(
        _plans(slots=3, work=0.1), text=_TEXT, policies=_GUARDED
    ) as run:
        target = run.fleet.hosts[1].target
        answers = await _call_many(run, 12)
    assert [answer.status for answer in answers] == [200] * 12
    assert target.max_running == 3


async def test_refusal_of_the_guard_is_typed_and_true(autojump_clock):
    async with running_fleet(
        _plans(slots=1, work=1), text=_TEXT, policies=_GUARDED
    ) as run:
        answers = await _call_many(
            run, 9, path='/walks/orders', method='POST', body=b'x' * 9000
        )
        target = run.fleet.hosts[1].target
    refused = [answer for answer in answers if answer.status == 503]
    assert len(refused) == 4
    assert target.calls.total() == 5
    assert {answer.code for answer in refused} == {'overloaded'}
    assert {answer.run_state for answer in refused} == {'not-run'}
    assert all(find_field(shed.fields, b'retry-after') for shed in refused)


async def test_onward_context_is_no_guarded_hop(autojump_clock):
    async with running_fleet(_plans(), text=_TEXT) as run:
        walks = run.fleet.hosts[1]
        answers = [
            await run.fleet.call(
                walks,
                _PATH,
                fields=[(HEADER, _hop_context(run, **changes))],
            )
            for changes in (
                {'service': 'gate'},
                {'service': 'gate', 'purpose': ContextPurpose.GUARDED_HOP},
                {'purpose': ContextPurpose.GUARDED_HOP, 'remaining': 5.0},
            )
        ]
        other = await run.fleet.call(
            walks,
            '/gate/items/1',
            fields=[
                (
                    HEADER,
                    _hop_context(run, purpose=ContextPurpose.GUARDED_HOP),
                ),
            ],
        )
    assert [answer.status for answer in answers] == [401, 401, 200]
    assert other.status == 401


async def test_target_cannot_fake_a_refusal(autojump_clock):
    for policies in (_GUARDED, Policies(slots='unlimited')):
        async with running_fleet(
            _plans(), text=_TEXT, policies=policies
        ) as run:
            run.fleet.hosts[1].target.extra_fields = [
                (b'boragetrestle-code', b'rate-exceeded'),
                (b'boragetrestle-run', b'not-run'),
            ]
            answer = await _call(run)
        assert (answer.status, answer.code) == (200, '')
        assert answer.run_state == ''


async def test_shed_of_the_target_is_honoured_as_not_run(autojump_clock):
    for policies in (_GUARDED, Policies(slots='unlimited')):
        async with running_fleet(
            _plans(), text=_TEXT, policies=policies
        ) as run:
            target = run.fleet.hosts[1].target
            target.faults.is_shedding = True
            plain = await _call(run)
            target.extra_fields = [(b'boragetrestle-run', b'not-run')]
            marked = await _call(run)
        assert (plain.status, plain.code, plain.run_state) == (503, '', '')
        assert (marked.code, marked.run_state) == ('overloaded', 'not-run')


async def test_other_refusals_of_the_guard_keep_their_code(autojump_clock):
    async with running_fleet(_plans(), text=_TEXT, policies=_GUARDED) as run:
        guarding = run.fleet.hosts[1].node
        guarding.membership.own.clear()
        answer = await _call(run)
    assert (answer.code, answer.run_state) == ('no-target', 'not-run')


class _CountingGate:
    """Let every call pass and count them."""

    def __init__(self):
        self.checked = 0

    def check(self, _call):
        self.checked += 1


async def test_gates_check_onward_calls_but_no_guarded_hop(autojump_clock):
    async with running_fleet(_plans(), text=_TEXT, policies=_GUARDED) as run:
        walks = run.fleet.hosts[1]
        gate = _CountingGate()
        walks.node.entry.gates = [gate]
        through_guard = await _call(run)
        after_hop = gate.checked
        onward = await run.fleet.call(
            walks,
            _PATH,
            fields=[(HEADER, _hop_context(run))],
            caller=walks.target.address.host,
        )
    assert (through_guard.status, onward.status) == (200, 200)
    assert (after_hop, gate.checked) == (0, 1)
