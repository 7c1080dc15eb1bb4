"""A target that left is used again after all nodes were killed at once."""

import asyncio
import signal
import sys
import time
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from fleet2 import DRAIN_SECONDS, Fleet, message, run_case  # noqa: E402

KILL_AFTER_ACK_SECONDS = 0.3
LATE_SECONDS = 5.0  # from the sending of the late ping to its arrival
SERVES_ON_SECONDS = 11.0  # after the acknowledgement, then the target exits


async def play(is_troubled):
    fleet = Fleet(CASE, ['walks', 'walks', 'walks', 'media'])
    try:
        return await _play(fleet, is_troubled)
    finally:
        await fleet.end()


async def _play(fleet, is_troubled):
    await fleet.start()
    leaver = fleet.targets[1]
    for target in fleet.targets.values():
        target.work_seconds = (0.2, 0.4)
    callers = [
        asyncio.create_task(fleet.traffic(number, path, 0.2))
        for number in fleet.nodes
        for path in ('/read/x', '/submit/x') * 2
    ]
    await asyncio.sleep(2.0)
    # The last ping before the leave is held up on its way.
    leaver.beats = False
    late_ping = leaver.ping()
    late_at = time.monotonic() + LATE_SECONDS
    await asyncio.sleep(0.05)
    leaver.headers = {'server_leaving': '1'}  # in all its answers from now on
    leave = message(f'DELETE /instances/{leaver.id} HTTP/1.1', host='node')
    if not await leaver.tell(leave, 'leave'):
        raise RuntimeError('the leave was not acknowledged')
    acked_at = time.monotonic()
    await asyncio.sleep(KILL_AFTER_ACK_SECONDS)
    if is_troubled:
        for node in fleet.nodes.values():
            node.signal(signal.SIGKILL)
    await asyncio.sleep(late_at - time.monotonic())
    await leaver.tell(late_ping, 'late-ping')
    await asyncio.sleep(acked_at + SERVES_ON_SECONDS - time.monotonic())
    leaver.end('exits-after-its-leave')
    await asyncio.sleep(2.0)
    for caller in callers:
        caller.cancel()
    return judge(fleet, leaver.id, acked_at)


def judge(fleet, leaver, acked_at):
    in_touch_at = max(node.in_touch_at() for node in fleet.nodes.values())
    breaches = []
    for run in fleet.runs:
        sent = fleet.sent[run.request_id]
        if run.target != leaver or run.at <= acked_at + DRAIN_SECONDS:
            continue
        if sent.sent_at <= max(in_touch_at, acked_at + DRAIN_SECONDS):
            continue
        breaches.append(
            f'DRAIN: {run.request_id} ran at {leaver} '
            f'{run.at - acked_at:.2f} s after its leave was acknowledged; '
            f'all machines were in touch {sent.sent_at - in_touch_at:.2f} s '
            f'before it was sent; its caller got {sent.status or sent.error}'
        )
    late = sum(
        run.target == leaver and run.at > acked_at + DRAIN_SECONDS
        for run in fleet.runs
    )
    print(f'{late} requests reached {leaver} later than DrainMs after the ack')
    print(f'{len(breaches)} of them were sent while all machines were in touch')
    return breaches[:5]


run_case(play)
