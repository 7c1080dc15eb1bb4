"""Clients leave before their time limit while many users come at once."""

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from standins import (
    BROKEN, COULD_NOT_RUN, HAS_TROUBLE, HELD, Fleet, Machine, route, run_case,
)

SERVICE = 'catalogue'
SLOTS = 10
WORK_S = 0.5  # two upstreams, 40 requests a second
USUAL_PER_S = 36.0
BURST = 1.8
BURST_S = 20.0
LEAVING_S = 5.5  # length of a time in which clients leave early
LEAVING_FROM = (5.0, 13.0)  # seconds of the burst
LEAVING_SHARE = 0.2
LEAVES_AFTER_S = 1.0
GONE_S = 0.5  # "reach an upstream over half a second later"
A_FEW = 10


class Case:
    """The clients of one machine, and when those that left did so."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.fleet = machine.fleet
        self.left: dict[str, float] = {}

    async def leave_early(self, name: str, method: str) -> None:
        """Send a request, and close the connection after a time."""
        request_id = f'{self.fleet.chance.getrandbits(64):016x}'
        attempt = asyncio.create_task(
            self.machine.send(name, method=method, request_id=request_id)
        )
        done, _pending = await asyncio.wait({attempt}, timeout=LEAVES_AFTER_S)
        if done:
            return
        attempt.cancel()
        await asyncio.wait({attempt})
        self.left[request_id] = time.monotonic()
        self.fleet.record.write('left', request=request_id)

    async def press(self) -> None:
        """Send requests of both kinds at the rate of the burst."""
        chance = self.fleet.chance
        began = time.monotonic()
        attempts = []
        while (elapsed := time.monotonic() - began) < BURST_S:
            kinds = ('browse', 'GET'), ('browse', 'GET'), ('buy', 'POST')
            name, method = kinds[len(attempts) % len(kinds)]
            is_time = any(
                start <= elapsed < start + LEAVING_S for start in LEAVING_FROM
            )
            if HAS_TROUBLE and is_time and chance.random() < LEAVING_SHARE:
                attempt = self.leave_early(name, method)
            else:
                attempt = self.machine.send(name, method=method)
            attempts.append(asyncio.create_task(attempt))
            await asyncio.sleep(chance.expovariate(USUAL_PER_S * BURST))
        await asyncio.gather(*attempts)


async def case(folder: Path) -> int:
    async with Fleet(folder) as fleet:
        machines = [fleet.add_machine(SERVICE) for _ in range(2)]
        routes = [
            route('browse', SERVICE, target_ms=2500, timeout_ms=5000),
            route(
                'buy',
                SERVICE,
                target_ms=2500,
                timeout_ms=5000,
                kind='non_idempotent',
            ),
        ]
        for each in routes:
            each['Spec']['Public'] = True
        await fleet.configure(*routes)
        await fleet.start()
        for machine in machines:
            await machine.start_upstream(slots=SLOTS, work_s=WORK_S)
        await asyncio.sleep(4.0)
        clients = Case(machines[0])
        await clients.press()
        left = clients.left
        late = [
            run
            for run in fleet.runs
            if run.request in left and run.at > left[run.request] + GONE_S
        ]
        ran = {run.request for run in fleet.runs}
        answers = list(fleet.sent.values())
        served = sum(each.status == 200 for each in answers)
        dropped = [
            each
            for each in answers
            if each.status == 504 and each.request not in ran
        ]
        fleet.record.write(
            'result',
            sent=len(answers),
            served=served,
            left=len(left),
            reached_late=len(late),
            never_run_504=len(dropped),
        )
        print(f'sent {len(answers)}, served {served}, left early {len(left)}, '
              f'of these reached an upstream late {len(late)}; never run but '
              f'answered 504 {len(dropped)}')
        if served < len(answers) / 4:
            return COULD_NOT_RUN
        return BROKEN if len(late) > A_FEW else HELD


run_case(case, __file__)
