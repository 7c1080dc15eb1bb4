"""Builders of guards for tests."""

import random

from builders import target_record

from boragetrestle_kernel.clock import VirtualWallClock
from boragetrestle_kernel.hybrid_clock import HybridClock
from boragetrestle_kernel.timeline import Timeline
from boragetrestle_node.limit_policy import LIMIT_POLICIES
from boragetrestle_node.queue_order import QUEUE_ORDERS
from boragetrestle_node.service_times import ServiceTimes
from boragetrestle_node.slot_guard import SlotGuard


def slot_guard(
    *,
    slots=4,
    limit='fixed',
    queue='class-fair',
    weights=None,
    record=None,
    is_warm=True,
):
    """Build a guard; a warm one has passed its slow start."""
    known = weights or {}
    guard = SlotGuard(
        record or target_record(1),
        limit=LIMIT_POLICIES[limit](slots),
        queue=QUEUE_ORDERS[queue](lambda org: known.get(org, 1)),
        times=ServiceTimes(),
        timeline=Timeline(HybridClock(VirtualWallClock()), node='node-1'),
        rng=random.Random(1),
        on_queued=lambda _guard: None,
    )
    if is_warm:
        guard.slow_start.bound = slots
    return guard
