"""An upstream's address goes to another service while requests wait for it."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (
    BOUNDS, BROKEN, COULD_NOT_RUN, HAS_TROUBLE, HELD, Fleet, Machine, route,
    run_case,
)

SERVICE = 'checkout'
OTHER_SERVICE = 'media'
OTHER_MACHINES = (OTHER_SERVICE, OTHER_SERVICE, *['catalogue'] * 3)
ROUNDS = 4
# The address goes to another service once AddrReuseS has elapsed.
REUSE_S = BOUNDS['AddrReuseS'] + 0.2
SERVER_LIMIT = '0.3'  # requests a second
WAITING_REQUESTS = 3
SLOTS = 20
WORK_S = 0.1
PRESS_PAUSE_S = 0.1


async def press(caller: Machine) -> None:
    """Send requests to the other services all the while."""
    attempts: set[asyncio.Task[object]] = set()
    try:
        while True:
            for name in ('guide', 'walks'):
                attempt = asyncio.create_task(caller.send(name))
                attempts.add(attempt)
                attempt.add_done_callback(attempts.discard)
            await asyncio.sleep(PRESS_PAUSE_S)
    finally:
        for attempt in attempts:
            attempt.cancel()


async def play_round(machine: Machine, caller: Machine) -> None:
    """Replace the upstream of a machine, and bring its service back."""
    upstream = await machine.start_upstream(slots=SLOTS, work_s=WORK_S)
    await asyncio.sleep(3.5)
    await caller.send('buy', method='POST')
    upstream.terms = {'Server_Limit': SERVER_LIMIT}
    await caller.send('buy', method='POST')
    waiting = [
        asyncio.create_task(caller.send('buy', method='POST'))
        for _ in range(WAITING_REQUESTS)
    ]
    await asyncio.sleep(0.3)
    if HAS_TROUBLE:
        upstream.exit()
        await asyncio.sleep(REUSE_S)
        await machine.start_upstream(
            service=OTHER_SERVICE, slots=SLOTS, work_s=WORK_S
        )
    await asyncio.gather(*waiting)
    await asyncio.sleep(1.0)
    assert machine.upstream is not None
    machine.upstream.exit()
    machine.upstream = None
    await asyncio.sleep(REUSE_S)


async def case(folder: Path) -> int:
    async with Fleet(folder) as fleet:
        first = fleet.add_machine(SERVICE)
        others = [fleet.add_machine(name) for name in OTHER_MACHINES]
        buy = route('buy', SERVICE, kind='non_idempotent')
        buy['Spec']['Public'] = True
        await fleet.configure(
            buy,
            route('guide', OTHER_SERVICE, kind='download'),
            route('walks', 'catalogue'),
        )
        await fleet.start()
        for machine in others:
            await machine.start_upstream(slots=SLOTS, work_s=WORK_S)
        pressing = asyncio.create_task(press(others[-1]))
        for _ in range(ROUNDS):
            await play_round(first, others[-1])
        pressing.cancel()
        await asyncio.wait({pressing})
        wrong = [
            run
            for run in fleet.runs
            if run.service != SERVICE and run.path.startswith('/buy/')
        ]
        successes = sum(
            fleet.sent[run.request].status == 200 for run in wrong
        )
        right = sum(run.service == SERVICE for run in fleet.runs)
        bought = [each for each in fleet.sent.values() if each.route == 'buy']
        fleet.record.write(
            'result',
            sent=len(bought),
            run_by_checkout=right,
            run_by_wrong_service=len(wrong),
            of_these_answered_200=successes,
        )
        print(f'sent {len(bought)}, run by the right service {right}, by a '
              f'service to which no configuration allows them {len(wrong)}, of '
              f'these answered with 200 {successes}')
        if right < ROUNDS:
            return COULD_NOT_RUN
        return BROKEN if wrong else HELD


run_case(case, __file__)
