"""Run a node as a process."""

import asyncio
import sys
from dataclasses import fields
from typing import TYPE_CHECKING

from boragetrestle_kernel.errors import BoragetrestleError
from boragetrestle_sidecar.decision_log import open_log
from boragetrestle_sidecar.sidecar import Sidecar

if TYPE_CHECKING:
    from boragetrestle_sidecar.decision_log import DecisionLog
    from boragetrestle_sidecar.platform_adapter import PlatformAdapter

CHECK_ARGUMENT = 'check'
NOT_STARTED_EXIT_CODE = 3  # settings refused or an address in use


def run_program(adapter: 'PlatformAdapter', arguments: list[str]) -> int:
    """Run a node until SIGTERM; return 0, or 3 if it could not start.

    With the argument ``check`` the settings are only read and printed.
    """
    if arguments == [CHECK_ARGUMENT]:
        return _check(adapter)
    log = open_log()
    try:
        asyncio.run(_run(adapter, log))
    except (BoragetrestleError, OSError) as error:
        log.write_unlimited('not-started', error=str(error))
        sys.stderr.write(f'boragetrestle-node: {error}\n')
        return NOT_STARTED_EXIT_CODE
    return 0


def _check(adapter: 'PlatformAdapter') -> int:
    try:
        settings = adapter.load_settings()
    except BoragetrestleError as error:
        sys.stderr.write(f'boragetrestle-node: {error}\n')
        return NOT_STARTED_EXIT_CODE
    for field in fields(settings):
        shown = getattr(settings, field.name)
        sys.stdout.write(f'{field.name}: {shown}\n')
    return 0


async def _run(adapter: 'PlatformAdapter', log: 'DecisionLog') -> None:
    await Sidecar(adapter, log).run()
