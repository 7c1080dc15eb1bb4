"""Two nodes in a process of their own, whose memory tests read.

Targets and callers are in the process of the test. As a program, this module
runs the nodes until its standard input ends.
"""

import asyncio
import sys
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from pathlib import Path

from path_builders import LineLog
from path_standins import Host, MemoryStore

from boragetrestle_sidecar.steady_clock import steady_now

MEMORY_MB = 300  # of a process, on the smallest hosts
BYTES_PER_MB = 1_000_000
NODE_IPS = ('127.7.0.1', '127.7.0.2')
SLOTS = 64
HEARTBEAT_SECONDS = 0.5
_KB = 1024
_READY = b'ready\n'


class MemoryProcess:
    """A running process of two nodes."""

    def __init__(self, process: asyncio.subprocess.Process) -> None:
        self.process = process
        self.base_mb = self.peak_mb

    @property
    def peak_mb(self) -> float:
        """The largest resident memory of the process so far, in MB."""
        status = Path(f'/proc/{self.process.pid}/status').read_text()
        (line,) = [
            line for line in status.splitlines() if line.startswith('VmHWM')
        ]
        return int(line.split()[1]) * _KB / BYTES_PER_MB


@asynccontextmanager
async def nodes_in_a_process() -> AsyncGenerator[MemoryProcess, None]:
    """Start the nodes; their targets listen already."""
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        __file__,
        stdin=asyncio.subprocess.PIPE,
        stdout=asyncio.subprocess.PIPE,
        env={'PYTHONPATH': ':'.join(sys.path)},
    )
    assert process.stdin is not None
    assert process.stdout is not None
    try:
        assert await process.stdout.readline() == _READY
        yield MemoryProcess(process)
    finally:
        process.stdin.close()
        await process.wait()


async def _run_nodes() -> None:
    store = MemoryStore()
    store.put('operators', 'configuration', b'1')
    log = LineLog(steady_now)
    hosts = [
        Host(place + 1, store, log, memory_bytes=MEMORY_MB * BYTES_PER_MB)
        for place in range(len(NODE_IPS))
    ]
    for host in hosts:
        await host.node.start()
    await asyncio.sleep(1)
    asyncio.get_running_loop().create_task(_report(hosts))
    await asyncio.sleep(1)
    sys.stdout.buffer.write(_READY)
    sys.stdout.flush()
    await asyncio.get_running_loop().run_in_executor(None, sys.stdin.read)


async def _report(hosts: list[Host]) -> None:
    sequence = 0
    while True:
        sequence += 1
        for host in hosts:
            host.report(sequence=sequence, slots=SLOTS)
        await asyncio.sleep(HEARTBEAT_SECONDS)


if __name__ == '__main__':
    asyncio.run(_run_nodes())
