"""Two machines are lost for good; some seconds later keys and routes go."""

import asyncio
import time

from fleet3 import Attempt, Fleet, Machine, NotRunError, main, route, send, tenant

MACHINES = 6
READS_SECONDS = 4.0  # a machine that reads the store has polled within it
SETTLE_SECONDS = 5.0
CALM_SECONDS = 9.0  # three times StabilityMs
APPLY_SECONDS = 2.0  # ConfigApplyMs
WATCH_SECONDS = 7.0
ROUNDS = 6
REST_SECONDS = 0.1
KEPT = 'keystayskeystays'


async def watch(machine: Machine, number: int, acked_at: float) -> list[Attempt]:
    """Use a withdrawn key and a dropped route; return what ran too late."""
    late = []
    uses = (
        ('withdrawn-key', '/read/1', _key(number)),
        ('dropped-route', f'/old-{number}/1', KEPT),
    )
    while time.monotonic() - acked_at < WATCH_SECONDS:
        for what, path, key in uses:
            attempt = await send(machine, path, key=key)
            after = attempt.sent_at - acked_at
            if after > APPLY_SECONDS and attempt.status == 200:
                late.append(attempt)
                machine.fleet.record.write(
                    f'{what}-served',
                    request=attempt.request_id,
                    node=machine.name,
                    sent_after_ack=f'{after:.3f}',
                )
        await asyncio.sleep(REST_SECONDS)
    return late


def _key(number: int) -> str:
    return f'key{number:02d}key{number:02d}'


def _set_terms(fleet: Fleet, first: int) -> None:
    """Keep the keys and routes from a number on."""
    numbers = range(first, ROUNDS)
    fleet.tenants = [tenant('acacia', KEPT, *map(_key, numbers))]
    fleet.routes = [
        route('read', '/read/', 'idempotent', 'svc'),
        *(
            route(f'old-{each}', f'/old-{each}/', 'idempotent', 'svc')
            for each in numbers
        ),
    ]


async def case(fleet: Fleet, has_trouble: bool) -> str:
    """Return what broke."""
    fleet.zones = ['z-a']
    for _ in range(MACHINES):
        fleet.add('svc')
    _set_terms(fleet, 0)
    await fleet.start()
    await asyncio.sleep(SETTLE_SECONDS)
    began = time.monotonic()
    readers = [
        each
        for each in fleet.machines
        if began - each.polled_at < READS_SECONDS
    ]
    names = ','.join(each.name for each in readers)
    fleet.record.write('machines-that-read-the-store', nodes=names)
    if len(readers) > MACHINES // 2:
        raise NotRunError('more than half of the machines read the store')
    if has_trouble:
        for machine in readers:
            machine.lose()
    await asyncio.sleep(CALM_SECONDS)
    alive = [each for each in fleet.machines if not each.is_lost]
    before = [await send(each, '/read/1', key=_key(0)) for each in alive]
    if any(attempt.status != 200 for attempt in before):
        raise NotRunError('a request was not served before the changes')
    late: list[Attempt] = []
    for number in range(ROUNDS):
        _set_terms(fleet, number + 1)
        await fleet.configure()
        acked_at = time.monotonic()
        found = await asyncio.gather(
            *(watch(each, number, acked_at) for each in alive)
        )
        late += [attempt for each in found for attempt in each]
        counts = ','.join(str(len(each)) for each in found)
        fleet.record.write('round', number=number, late=counts)
    if not late:
        return ''
    return (
        f'CONFIG: {len(late)} requests with a withdrawn key or on a dropped '
        f'route ran that were sent over {APPLY_SECONDS:g} s after the '
        'acknowledgement'
    )


main(case)
