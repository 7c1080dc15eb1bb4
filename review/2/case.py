"""A node restarts, its upstream leaves, and an earlier ping comes late."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (
    BOUNDS, BROKEN, COULD_NOT_RUN, HAS_TROUBLE, HELD, Fleet, Machine, route,
    run_case,
)

SERVICE = 'outlet-svc'
DRAIN_S = BOUNDS['DrainMs'] / 1000
STABILITY_S = BOUNDS['StabilityMs'] / 1000
PING_LATE_S = 2.5  # "A ping may arrive seconds late."
SERVES_ON_S = 6.0  # "for DrainMs after the ack and a little longer"


async def press(fleet: Fleet, machine: Machine, until: float) -> None:
    """Send requests of both kinds at 20 a second."""
    tasks = []
    number = 0
    while time.monotonic() < until:
        number += 1
        kind = ('lookup', 'GET') if number % 2 else ('submit', 'POST')
        tasks.append(asyncio.create_task(machine.send(kind[0], method=kind[1])))
        await asyncio.sleep(0.05)
    await asyncio.gather(*tasks)


async def case(folder: Path) -> int:
    async with Fleet(folder) as fleet:
        leaver, stayer, caller = (
            fleet.add_machine(name)
            for name in (SERVICE, SERVICE, 'submit-svc')
        )
        await fleet.configure(
            route('lookup', SERVICE),
            route('submit', SERVICE, kind='non_idempotent'),
        )
        await fleet.start()
        leaving = await leaver.start_upstream(slots=60, work_s=0.12)
        await stayer.start_upstream(slots=60, work_s=0.12)
        await asyncio.sleep(4.0)
        until = time.monotonic() + 14.0
        pressing = [
            asyncio.create_task(press(fleet, machine, until))
            for machine in (stayer, caller)
        ]
        await asyncio.sleep(2.0)
        if not any(run.upstream == leaving.id for run in fleet.runs):
            return COULD_NOT_RUN

        # The next ping is due after the node is back, and the upstream leaves.
        leaving.beats = False
        started_at = time.monotonic()
        if HAS_TROUBLE:
            await leaver.kill_and_restart()
            started_at = time.monotonic()
            await leaver.wait_ready()
        late = leaving.ping_bytes()
        fleet.record.write('ping-sent', sequence=leaving.sequence)
        loop = asyncio.get_running_loop()
        deliver_at = loop.time() + PING_LATE_S
        await asyncio.sleep(0.2)
        while not await leaving.leave():
            await asyncio.sleep(0.1)
        acknowledged_at = time.monotonic()
        fleet.record.write('leave-acknowledged', upstream=leaving.id)
        await asyncio.sleep(deliver_at - loop.time())
        was_taken = await leaving.ping(late)
        fleet.record.write('ping-arrived', answered=was_taken)
        rest = acknowledged_at + DRAIN_S + SERVES_ON_S - time.monotonic()
        await asyncio.sleep(rest)
        exited_at = time.monotonic()
        leaving.exit()
        await asyncio.gather(*pressing)

        bound_from = max(acknowledged_at + DRAIN_S, started_at + STABILITY_S)
        late_runs = [
            run
            for run in fleet.runs
            if run.upstream == leaving.id
            and fleet.sent[run.request].at > bound_from
        ]
        lost = [
            run
            for run in late_runs
            if fleet.sent[run.request].status != 200
        ]
        served = sum(each.status == 200 for each in fleet.sent.values())
        fleet.record.write(
            'result',
            sent=len(fleet.sent),
            served=served,
            reached_after_drain=len(late_runs),
            of_these_lost=len(lost),
            from_s=round(bound_from - acknowledged_at, 2),
            exited_s=round(exited_at - acknowledged_at, 2),
        )
        print(f'sent {len(fleet.sent)}, served {served}, reached the upstream '
              f'later than DrainMs {len(late_runs)}, of these lost {len(lost)}')
        if served < len(fleet.sent) / 2:
            return COULD_NOT_RUN
        return BROKEN if late_runs else HELD


run_case(case, __file__)
