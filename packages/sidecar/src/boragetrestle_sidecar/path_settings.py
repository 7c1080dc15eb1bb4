"""Settings of a node on the data path of two hops."""

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from boragetrestle_kernel.address import Address
    from boragetrestle_kernel.ids import DomainName, NodeId, ServiceName


@dataclass(frozen=True, slots=True)
class PathSettings:
    """Addresses and bounds of one node; durations are seconds.

    ``drain_seconds``, ``stop_seconds`` and the others under them are promises
    that the operators' platform makes or expects; ``heartbeat_seconds`` is the
    interval at which targets report.
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
