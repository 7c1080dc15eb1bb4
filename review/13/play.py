"""All nodes are killed while the store is down; stray pings come meanwhile."""

import asyncio
import json
import signal
import time

from fleet3 import (
    CONTROL,
    Attempt,
    Fleet,
    Machine,
    NotRunError,
    main,
    route,
    send,
    tell,
)

SERVICE = 'svc'
STRAY_SERVICE = 'stray'  # in no configuration
STRAY_PAUSE_SECONDS = 1.5  # as upstreams do, HeartbeatMs
DOWN_SECONDS = 4.5
BEFORE_KILL_SECONDS = 0.5
CALM_SECONDS = 8.0
REQUESTS = 8
MACHINES = 10


class StrayWriter:
    """Another writer, whose pings name a service that nobody configured."""

    def __init__(self, machine: Machine) -> None:
        self.machine = machine
        self.born = int(time.time() * 1000)
        self.sequence = 0

    async def run(self) -> None:
        """Send pings for ever."""
        while True:
            self.sequence += 1
            body = json.dumps({
                'Address': self.machine.server.address,
                'Info': {
                    'Service': STRAY_SERVICE,
                    'Version': 'v1',
                    'Zone': self.machine.zone,
                    'Slots': 16,
                },
                'Status': {
                    'State': 'ready',
                    'Sequence': self.sequence,
                    'ColdRemainingMs': 0,
                },
                'born': self.born,
            }).encode()
            head = (
                'PUT /instances/i-stray HTTP/1.1\r\nHost: node\r\n'
                'Content-Type: application/json\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'
            )
            acked = await tell(
                (self.machine.ip, CONTROL), head.encode() + body
            )
            self.machine.fleet.record.write(
                'stray-ping', node=self.machine.name, acked=acked
            )
            await asyncio.sleep(STRAY_PAUSE_SECONDS)


async def ask(fleet: Fleet) -> list[Attempt]:
    """Send some requests on each machine."""
    return [
        await send(machine, '/read/1')
        for machine in fleet.machines
        for _ in range(REQUESTS)
    ]


async def case(fleet: Fleet, has_trouble: bool) -> str:
    """Return what broke."""
    for _ in range(MACHINES):
        fleet.add(SERVICE)
    fleet.routes = [route('read', '/read/', 'idempotent', SERVICE)]
    await fleet.start()
    for machine in fleet.machines:
        writer = StrayWriter(machine)
        fleet.tasks.append(asyncio.create_task(writer.run()))
    await asyncio.sleep(3.0)
    before = await ask(fleet)
    if has_trouble:
        fleet.record.write('store-goes-down')
        for machine in fleet.machines:
            machine.is_turned_away = True
        await asyncio.sleep(BEFORE_KILL_SECONDS)
        for machine in fleet.machines:
            machine.signal(signal.SIGKILL)
        await asyncio.sleep(DOWN_SECONDS - BEFORE_KILL_SECONDS)
        for machine in fleet.machines:
            machine.is_turned_away = False
        fleet.record.write('store-is-back')
    await asyncio.sleep(CALM_SECONDS)
    attempts = await ask(fleet)
    callers: dict[str, str] = {}
    for each in fleet.machines:
        callers.update(each.server.callers)
    if any(callers.get(each.request_id) != SERVICE for each in before):
        raise NotRunError('a request was not served before the fault')
    foreign = [
        each.request_id
        for each in attempts
        if callers.get(each.request_id, SERVICE) != SERVICE
    ]
    served = sum(each.status == 200 for each in attempts)
    fleet.record.write(
        'result', sent=len(attempts), served=served, foreign=len(foreign)
    )
    if not foreign:
        return ''
    return (
        f'UNASKED: {len(foreign)} of {len(attempts)} requests ran as if they '
        f'came from the service {callers[foreign[0]]!r}; their machine has '
        f'{SERVICE!r}'
    )


main(case)
