"""Metrics of a node through OpenTelemetry."""

from collections.abc import Callable, Mapping

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from boragetrestle_kernel.ids import ServiceName
from boragetrestle_kernel.refusal import Refusal
from boragetrestle_node.call import Call


class NodeMetrics:
    """Count calls and refusals."""

    def __init__(self) -> None:
        self.reader = InMemoryMetricReader()
        provider = MeterProvider(
            metric_readers=[self.reader],
            shutdown_on_exit=False,
        )
        meter = provider.get_meter('boragetrestle.node')
        self.meter = meter
        self.calls = meter.create_counter(
            'boragetrestle.calls',
            unit='{call}',
            description='Calls answered',
        )
        self.refusals = meter.create_counter(
            'boragetrestle.refusals',
            unit='{call}',
            description='Calls refused, by code',
        )
        self.abandonments = meter.create_counter(
            'boragetrestle.abandonments',
            unit='{call}',
            description='Calls that their callers broke off, by reason',
        )

    def watch_wanted(
        self,
        wanted: Callable[[], Mapping[ServiceName, int]],
    ) -> None:
        """Show how many targets the services beside this node need."""

        def observe(_options: CallbackOptions) -> list[Observation]:
            return [
                Observation(count, {'service': service})
                for service, count in wanted().items()
            ]

        self.meter.create_observable_gauge(
            'boragetrestle.targets.wanted',
            [observe],
            unit='{target}',
            description='Targets that a service needs',
        )

    def answered(self, call: Call) -> None:
        """Count a call that a target answered whole."""
        self.calls.add(1, {'service': call.service})

    def refused(self, refusal: Refusal, call: Call | None) -> None:
        """Count a refusal."""
        service = call.service if call else ''
        self.refusals.add(
            1,
            {'service': service, 'code': refusal.code.value},
        )

    def abandoned(self, call: Call, reason: str) -> None:
        """Count a call that its caller broke off."""
        self.abandonments.add(1, {'service': call.service, 'reason': reason})

    def export(self) -> str:
        """Return the metrics as OpenTelemetry JSON."""
        collected = self.reader.get_metrics_data()
        return collected.to_json() if collected else '{}'
