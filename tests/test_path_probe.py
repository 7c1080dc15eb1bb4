"""Entries ask guards for their load before they place a request."""

import asyncio
from typing import Any

from entry_builders import EntryHarness, node_load, request_bytes
from path_builders import ManualClock, chance
from virtual_loop import run_virtual

from boragetrestle_sidecar.guard_probe import (
    FRESH_SECONDS,
    PROBE_TIMEOUT_SECONDS,
    PROBED_GUARDS,
    GuardProbe,
)
from boragetrestle_sidecar.outcome import GuardLoad
from boragetrestle_sidecar.placement import GuardView

FULL = GuardLoad(10, 5, 10, 0.2)
FREE = GuardLoad(0, 0, 10, 0.2)


class StaleHarness(EntryHarness):
    """An entry that has not heard from its guards for some seconds."""

    def __init__(self) -> None:
        super().__init__()
        for hop in self.hops.values():
            hop.can_be_probed = True
        self.clock.now += 3

    def request(self) -> None:
        """Send a request."""
        connection, _transport = self.connect()
        connection.data_received(request_bytes())

    def answer(self, name: str, load: GuardLoad) -> None:
        """Let a guard tell its load."""
        self.fleet.update_load(node_load(name, load=load))


def test_request_goes_where_a_slot_is_free_now() -> None:
    """What an entry heard seconds ago tells nothing about it."""

    async def test() -> None:
        bench = StaleHarness()
        bench.request()
        assert not bench.sent()
        bench.answer('a', FULL)
        bench.answer('b', FREE)
        assert len(bench.hops['b'].sent) == 1

    run_virtual(test())


def test_guard_that_does_not_answer_is_passed_over() -> None:
    """It may be cut off, and a request that may not repeat would be lost."""

    async def test() -> None:
        bench = StaleHarness()
        bench.request()
        bench.answer('b', FULL)
        assert not bench.sent()
        await asyncio.sleep(2 * PROBE_TIMEOUT_SECONDS)
        assert len(bench.hops['b'].sent) == 1
        assert not bench.hops['a'].sent

    run_virtual(test())


def test_request_is_sent_although_no_guard_answers_in_time() -> None:
    """All may be slow; the request has its own time limit."""

    async def test() -> None:
        bench = StaleHarness()
        bench.request()
        await asyncio.sleep(2 * PROBE_TIMEOUT_SECONDS)
        assert len(bench.sent()) == 1

    run_virtual(test())


def test_caller_that_leaves_during_the_question_has_no_run() -> None:
    """Its request is placed after it has left otherwise."""

    async def test() -> None:
        bench = StaleHarness()
        connection, _transport = bench.connect()
        connection.data_received(request_bytes())
        connection.connection_lost(None)
        await asyncio.sleep(2 * PROBE_TIMEOUT_SECONDS)
        assert not bench.sent()

    run_virtual(test())


def test_link_that_is_lost_ends_the_question() -> None:
    """No answer will come over it."""

    async def test() -> None:
        bench = StaleHarness()
        bench.request()
        bench.answer('b', FREE)
        bench.fleet.mark_unreachable('a')
        assert len(bench.hops['b'].sent) == 1

    run_virtual(test())


def guards(count: int, **fields: Any) -> list[GuardView]:
    """Return open guards last heard at second 100."""
    hop: Any = None
    found = [GuardView(f'h:{port}', hop, domain='a') for port in range(count)]
    for guard in found:
        guard.is_open = True
        guard.heard_at = 100.0
        for field, value in fields.items():
            setattr(guard, field, value)
    return found


def test_busy_entries_ask_no_questions() -> None:
    """They hear of the load with the outcomes of their runs."""
    clock = ManualClock(100.0 + FRESH_SECONDS / 2)
    assert not GuardProbe(chance(), clock).choose_guards(guards(10))


def test_a_question_goes_to_few_guards() -> None:
    """Its cost must not depend on the number of guards."""
    clock = ManualClock(103.0)
    asked = GuardProbe(chance(), clock).choose_guards(guards(50))
    assert len(asked) == PROBED_GUARDS


def test_closed_guards_are_not_asked() -> None:
    """They get no requests either."""
    clock = ManualClock(103.0)
    probe = GuardProbe(chance(), clock)
    assert not probe.choose_guards(guards(10, is_open=False))


def test_a_single_guard_is_not_asked() -> None:
    """There is no choice to make."""
    clock = ManualClock(103.0)
    assert not GuardProbe(chance(), clock).choose_guards(guards(1))
