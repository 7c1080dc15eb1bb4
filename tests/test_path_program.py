"""The program of a node as a process: signals while it starts."""

import os
import signal
import subprocess
import sys
import threading
from pathlib import Path

import pytest

PROGRAM = Path(__file__).parent.parent / 'platform' / 'start.py'
NOT_STARTED_EXIT_CODE = 3
START_SECONDS = 10.0


@pytest.mark.processes
def test_reload_signal_does_not_end_a_node_that_is_starting(
    tmp_path: Path,
) -> None:
    """A platform may send SIGHUP right after a start.

    The node is held up while it opens its settings, a named pipe without a
    writer. Settings that cannot be decoded then end it with its own exit code.
    """
    settings = tmp_path / 'settings.json'
    os.mkfifo(settings)
    process = subprocess.Popen(
        [sys.executable, str(PROGRAM)],
        env={**os.environ, 'BORAGETRESTLE_SETTINGS': str(settings)},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )

    def signal_and_write() -> None:
        # Opening the pipe waits until the node has opened it as well.
        with settings.open('w') as pipe:
            process.send_signal(signal.SIGHUP)
            pipe.write('no settings')

    threading.Thread(target=signal_and_write, daemon=True).start()
    try:
        code = process.wait(timeout=START_SECONDS)
    finally:
        process.kill()
    assert code == NOT_STARTED_EXIT_CODE
