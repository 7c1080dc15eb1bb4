"""Time until a change and a withdrawal are in force on the last node."""

from collections.abc import Sequence

import trio

from boragetrestle_bench.figure import Figure, Limit
from boragetrestle_bench.registry import benchmark
from boragetrestle_bench.spread_fleet import SpreadFleet, measure_fleet
from boragetrestle_kernel.change import KeyGiven, KeyWithdrawn
from boragetrestle_kernel.ids import Digest, KeyId, OrgId, Version
from boragetrestle_node.policies import Policies

_SIZES = (16, 200)
_ROUNDS = 5
_PAUSE_SECONDS = 1.37
_STEP_SECONDS = 0.01
_GIVE_UP_SECONDS = 30.0
_IN_FORCE_SECONDS = 4.0
_SOURCE = 'letter 1: in force everywhere within 4 s'


async def in_force_seconds(run: SpreadFleet, version: Version) -> float:
    """Return the seconds until a version is in force on the last node."""
    started = trio.current_time()
    with trio.move_on_after(_GIVE_UP_SECONDS):
        while any(node.state.version < version for node in run.nodes):
            await trio.sleep(_STEP_SECONDS)
    return trio.current_time() - started


async def _changes(run: SpreadFleet) -> tuple[float, float]:
    """Return the longest times of a change and of a withdrawal."""
    given: list[float] = []
    withdrawn: list[float] = []
    for number in range(_ROUNDS):
        key_id = KeyId(f'key-{number}')
        key = KeyGiven(key_id, Digest(f'digest-{number}'), OrgId('acacia'))
        version = await run.change(key)
        given.append(await in_force_seconds(run, version))
        await trio.sleep(_PAUSE_SECONDS)
        version = await run.change(KeyWithdrawn(key_id))
        withdrawn.append(await in_force_seconds(run, version))
        await trio.sleep(_PAUSE_SECONDS)
    return max(given), max(withdrawn)


@benchmark('spread', has_policies=False)
def spread(_policies: Policies, seed: int) -> Sequence[Figure]:
    """Measure the spread of changes at two sizes of the fleet."""
    figures: list[Figure] = []
    for size in _SIZES:
        times = measure_fleet(size, _changes, seed=seed)
        for name, seconds in zip(('change', 'withdrawal'), times, strict=True):
            figures.append(
                Figure(
                    f'{name} in force on the last of {size} nodes, s',
                    seconds,
                    bound=_IN_FORCE_SECONDS,
                    limit=Limit.AT_MOST,
                    source=_SOURCE,
                ),
            )
    return figures
