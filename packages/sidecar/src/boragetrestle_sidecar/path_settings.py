"""Settings of a node.

A request passes two nodes: the entry, which took it from the caller, and the
guard beside the target.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from boragetrestle_sidecar.target_capacity import LearnsLimits

if TYPE_CHECKING:
    from boragetrestle_kernel.address import Address
    from boragetrestle_kernel.ids import (
        DomainName,
        NodeId,
        RegionName,
        ServiceName,
    )


@dataclass(frozen=True, slots=True)
class PathSettings:
    """Addresses and bounds of one node; durations are seconds.

    ``heartbeat_seconds`` is the interval at which targets report. The fields
    from ``stop_seconds`` on are bounds that the operators' platform promises or
    expects: the grace period of a stop; the retries allowed in a window, as a
    ratio of requests and an absolute slack; and the requests over an
    organisation's rate that are tolerated. ``is_first_start`` tells that all
    nodes start together for the first time. ``regions`` maps each domain to its
    region. ``limits_cold_targets`` tells that targets may crash if they get too
    many requests while they are cold. ``learns_limits`` tells for which targets
    guards learn how many runs they handle at once. ``memory_bytes`` is the memory of the
    process, beyond which it is ended.
    """

    node: 'NodeId'
    domain: 'DomainName'
    service: 'ServiceName'
    callers: 'Address'
    peers: 'Address'
    ready: 'Address'
    control: 'Address'
    metrics: 'Address'
    target: 'Address'
    store: 'Address'
    heartbeat_seconds: float = 1.5
    stop_seconds: float = 6.0
    retry_ratio: float = 0.2
    retry_window: float = 10.0
    retry_slack: float = 50.0
    rate_slack: float = 0.0
    is_first_start: bool = False
    regions: 'Mapping[DomainName, RegionName]' = field(default_factory=dict)
    limits_cold_targets: bool = False
    learns_limits: LearnsLimits = LearnsLimits.STATED
    memory_bytes: int = 200_000_000
