"""Pairs of faults on the real node code, with invariants all the time.

A schedule begins one fault, then another, changes the configuration and
withdraws a key meanwhile, drains a target, ends the faults, and checks that the
fleet has come back. An outage of the store begins no sooner after an accepted
change than the readers need to read it. The place of a pair is its seed.
"""

import itertools
import random

import pytest
import trio
from builders import RunningFleet, running_fleet
from fleet_faults import FAULTS, FaultyRun

from boragetrestle_kernel.errors import ConflictError, StoreError
from boragetrestle_kernel.ids import ServiceName, Version
from boragetrestle_standin.fleet import FleetHost
from boragetrestle_standin.host_plan import HostPlan

_PLANS = [HostPlan('walks', domain=domain) for domain in 'aaabbbccc']
_PAIRS = list(itertools.combinations_with_replacement(sorted(FAULTS), 2))
_WALKS = ServiceName('walks')
_PATH = '/walks/items/1'
_SAMPLE_SECONDS = 0.25
_STARTED_SECONDS = 5.0
_READ_SECONDS = 1.5
_IN_FORCE_SECONDS = 4.0
_DRAINED_SECONDS = 2.0
_WITHDRAWN_SECONDS = 6.0
_COME_BACK_SECONDS = 20.0


class Checker:
    """Check at short intervals what must hold under every fault."""

    def __init__(self, faulty: FaultyRun) -> None:
        self.faulty = faulty
        self.run = faulty.run
        self.versions: dict[FleetHost, Version] = {}
        self.seen_at: dict[FleetHost, float] = {}
        self.accepted: list[tuple[float, Version]] = []
        self.withdrawn_at: float | None = None
        self.drained: tuple[float, FleetHost] | None = None

    async def watch(self) -> None:
        """Check until cancelled."""
        while True:
            await trio.sleep(_SAMPLE_SECONDS)
            for host in self.run.fleet.hosts:
                self._never_reverts(host)
                self._is_not_empty(host)
            for host in self.faulty.untouched():
                self._is_in_force(host)
                self._drained_is_out(host)

    async def call_with_withdrawn_key(self) -> None:
        """Require all reachable nodes to refuse the withdrawn key."""
        assert self.withdrawn_at is not None
        await trio.sleep_until(self.withdrawn_at + _WITHDRAWN_SECONDS)
        for host in list(self.run.fleet.hosts):
            if host.cancel_scope.cancel_called:
                continue
            with trio.move_on_after(1):
                answer = await self.run.fleet.call(
                    host, _PATH, key=self.run.key
                )
                assert answer.status in {401, 503}, (host.place, answer)
                assert answer.run_state == 'not-run'

    def _never_reverts(self, host: FleetHost) -> None:
        version = host.node.state.version
        assert version >= self.versions.get(host, 0)
        self.versions[host] = version

    def _is_not_empty(self, host: FleetHost) -> None:
        now = trio.current_time()
        seen_for = now - self.seen_at.setdefault(host, now)
        if seen_for > _STARTED_SECONDS and not host.cancel_scope.cancel_called:
            assert host.node.directory.ready(_WALKS), host.place

    def _is_in_force(self, host: FleetHost) -> None:
        now = trio.current_time()
        for accepted_at, version in self.accepted:
            if now > accepted_at + _IN_FORCE_SECONDS:
                assert host.node.state.version >= version, host.place

    def _drained_is_out(self, host: FleetHost) -> None:
        if self.drained is None:
            return
        drained_at, drained = self.drained
        if trio.current_time() > drained_at + _DRAINED_SECONDS:
            ready = host.node.directory.ready(_WALKS)
            nodes = {record.node for record in ready}
            assert drained.node.settings.node not in nodes


async def _change(checker: Checker, run: RunningFleet) -> None:
    """Give a key until the store accepts it."""
    for _ in range(3):
        try:
            await run.operator.give_key('acacia')
            state = await run.operator.state()
        except (StoreError, ConflictError):
            continue
        checker.accepted.append((trio.current_time(), state.version))
        return


async def _withdraw(checker: Checker, run: RunningFleet) -> None:
    for _ in range(4):
        try:
            await run.operator.withdraw_key(run.key_id)
        except StoreError:
            continue
        checker.withdrawn_at = trio.current_time()
        return


async def _schedule(
    checker: Checker, faulty: FaultyRun, pair: tuple[str, str]
) -> None:
    ends = []
    for name in pair:
        ends.append(await FAULTS[name](faulty))
        await trio.sleep(faulty.rng.uniform(1, 8))
        await _change(checker, faulty.run)
        await trio.sleep(_READ_SECONDS)
    drained = faulty.pick()
    await drained.node.membership.drain()
    checker.drained = (trio.current_time(), drained)
    await trio.sleep(faulty.rng.uniform(0, 3))
    await _withdraw(checker, faulty.run)
    if checker.withdrawn_at is not None:
        await checker.call_with_withdrawn_key()
    for end in ends:
        await end()
        await trio.sleep(faulty.rng.uniform(0, 3))
    await trio.sleep(_COME_BACK_SECONDS)


async def _check_return(run: RunningFleet, drained: FleetHost) -> None:
    version = (await run.operator.state()).version
    given = await run.operator.give_key('acacia')
    await trio.sleep(_IN_FORCE_SECONDS)
    others = set(run.fleet.hosts) - {drained}
    for host in run.fleet.hosts:
        ready = host.node.directory.ready(_WALKS)
        assert {record.node for record in ready} == {
            other.node.settings.node for other in others
        }
        assert host.node.state.version == version + 1
        answer = await run.fleet.call(host, _PATH, key=given.key)
        assert answer.status == 200


@pytest.mark.parametrize('pair', _PAIRS, ids='+'.join)
async def test_invariants_hold_under_two_faults(autojump_clock, pair):
    seed = _PAIRS.index(pair)
    async with running_fleet(_PLANS, seed=seed) as run:
        faulty = FaultyRun(run, random.Random(seed), set())
        checker = Checker(faulty)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(checker.watch)
            await _schedule(checker, faulty, pair)
            nursery.cancel_scope.cancel()
        assert checker.drained is not None
        await _check_return(run, checker.drained[1])
