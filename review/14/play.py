"""Clients offer HTTP/2 in their first request, and reuse the connection."""

import asyncio

from fleet3 import (
    OUTBOUND,
    Attempt,
    Fleet,
    Machine,
    Message,
    NotRunError,
    main,
    new_id,
    read_message,
    request_bytes,
    route,
)

CLIENTS = 40
ANSWER_SECONDS = 6.0
OFFER = {
    'Connection': 'Upgrade, HTTP2-Settings',
    'Upgrade': 'h2c',
    'HTTP2_Settings': 'AAMAAABkAARAAAAAAAIAAAAA',
}


async def reuse(machine: Machine, offers: bool, ahead: bool) -> list[Attempt]:
    """Send two requests on one connection; return what came for each.

    A client that sends ``ahead`` does not wait for the first answer. The second
    request is sent as soon as the first answer is whole.
    """
    record = machine.fleet.record
    attempts = [Attempt(new_id(), 0.0), Attempt(new_id(), 0.0)]
    path, method = ('/read/1', 'GET') if ahead else ('/pay/1', 'POST')
    first = request_bytes(
        path,
        attempts[0].request_id,
        method=method,
        **(OFFER if offers else {}),
    )
    second = request_bytes(path, attempts[1].request_id, method=method)
    reader, writer = await asyncio.open_connection(machine.ip, OUTBOUND)
    try:
        async with asyncio.timeout(ANSWER_SECONDS):
            writer.write(first + second if ahead else first)
            for place, attempt in enumerate(attempts):
                record.write(
                    'sent',
                    request=attempt.request_id,
                    to=machine.name,
                    method=method,
                    place=place + 1,
                    ahead=ahead,
                    offer=offers and not place,
                )
                if place and not ahead:
                    writer.write(second)
                answer = await read_message(reader)
                _take(attempt, answer)
                record.write(
                    'answered',
                    request=attempt.request_id,
                    status=answer.status,
                    answer_names=answer.headers.get('x-request-id', 'none'),
                    seal=answer.headers.get('x-server-seal', 'none'),
                    body=answer.body.decode('latin-1'),
                )
                if answer.headers.get('connection') == 'close':
                    break
    except (OSError, EOFError, TimeoutError) as error:
        record.write('connection-ended', error=type(error).__name__)
    finally:
        writer.transport.abort()
    return attempts


def _take(attempt: Attempt, answer: Message) -> None:
    attempt.status = answer.status
    attempt.headers = answer.headers


async def case(fleet: Fleet, has_trouble: bool) -> str:
    """Return what broke."""
    for _ in range(2):
        fleet.add('svc')
    fleet.routes = [
        route('read', '/read/', 'idempotent', 'svc'),
        route('pay', '/pay/', 'non_idempotent', 'svc'),
    ]
    await fleet.start()
    pairs = []
    for number in range(CLIENTS):
        machine = fleet.machines[number % 2]
        ahead = number % 4 > 1
        pairs.append(await reuse(machine, has_trouble, ahead))
    if not all(first.status == 200 for first, _ in pairs):
        raise NotRunError('a first request was not served')
    await asyncio.sleep(1.0)
    runs = {run for each in fleet.machines for _, run, _ in each.server.runs}
    foreign = [
        second
        for _, second in pairs
        if second.status == 400 and second.request_id not in runs
    ]
    served = sum(second.status == 200 for _, second in pairs)
    fleet.record.write(
        'result',
        connections=len(pairs),
        second_served=served,
        second_answered_400=len(foreign),
    )
    if not foreign:
        return ''
    return (
        f'MIXED: on {len(foreign)} of {len(pairs)} connections the second '
        'request got a 400 that the node had written for the first one'
    )


main(case)
