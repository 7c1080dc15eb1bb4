"""A ping of another writer names a service that does not exist."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (
    BROKEN, COULD_NOT_RUN, HAS_TROUBLE, HELD, Fleet, Machine, route, run_case,
)

SERVICE = 'outlet-svc'
CALLERS_SERVICE = 'submit-svc'


async def press(machine: Machine, until: float) -> None:
    """Send 20 requests a second."""
    tasks = []
    while time.monotonic() < until:
        tasks.append(asyncio.create_task(machine.send('lookup')))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)


async def case(folder: Path) -> int:
    async with Fleet(folder) as fleet:
        first, second, caller = (
            fleet.add_machine(name)
            for name in (SERVICE, SERVICE, CALLERS_SERVICE)
        )
        await fleet.configure(route('lookup', SERVICE))
        await fleet.start()
        for machine in (first, second, caller):
            await machine.start_upstream(slots=60, work_s=0.05)
        await asyncio.sleep(4.0)
        pressing = asyncio.create_task(press(caller, time.monotonic() + 10.0))
        await asyncio.sleep(2.0)
        if HAS_TROUBLE:
            own = caller.upstream
            assert own is not None
            foreign = own.ping_bytes(
                Info={
                    'Service': 'nobody-svc',
                    'Version': 'v1',
                    'Zone': caller.zone,
                    'Slots': 60,
                },
                born=int(time.time() * 1000),
            ).replace(own.id.encode(), b'x-other-writer')
            answered = await own.ping(foreign)
            fleet.record.write('foreign-ping', answered=answered)
        await pressing
        wrong = [
            run
            for run in fleet.runs
            if run.headers.get('x-caller-service') != CALLERS_SERVICE
        ]
        served = sum(each.status == 200 for each in fleet.sent.values())
        fleet.record.write(
            'result', sent=len(fleet.sent), served=served, wrong=len(wrong)
        )
        print(f'sent {len(fleet.sent)}, served {served}, run with another '
              f'X-Caller-Service {len(wrong)}')
        if served < len(fleet.sent) / 2:
            return COULD_NOT_RUN
        return BROKEN if wrong else HELD


run_case(case, __file__)
