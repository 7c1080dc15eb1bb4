"""Metrics of a node through OpenTelemetry."""

from collections import Counter
from collections.abc import Callable, Iterable, Mapping

from opentelemetry.metrics import CallbackOptions, Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.export import InMemoryMetricReader

from boragetrestle_kernel.ids import ServiceName
from boragetrestle_kernel.refusal import Refusal
from boragetrestle_node.call import Call

Counted = Counter[tuple[str, str]]


class NodeMetrics:
    """Count calls and refusals.

    Calls add to plain counters, which OpenTelemetry observes when metrics are
    exported: adding to its own counters costs more than the rest of a
    decision.
    """

    def __init__(self) -> None:
        self.calls: Counted = Counter()
        self.refusals: Counted = Counter()
        self.abandonments: Counted = Counter()
        self.reader = InMemoryMetricReader()
        provider = MeterProvider(
            metric_readers=[self.reader],
            shutdown_on_exit=False,
        )
        meter = provider.get_meter('boragetrestle.node')
        self.meter = meter
        meter.create_observable_counter(
            'boragetrestle.calls',
            callbacks=[_observe(self.calls, 'class')],
            unit='{call}',
            description='Calls answered whole, by service and class',
        )
        meter.create_observable_counter(
            'boragetrestle.refusals',
            callbacks=[_observe(self.refusals, 'code')],
            unit='{call}',
            description='Calls refused, by service and code',
        )
        meter.create_observable_counter(
            'boragetrestle.abandonments',
            callbacks=[_observe(self.abandonments, 'reason')],
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
        self.calls[call.service, call.call_class.label] += 1

    def refused(self, refusal: Refusal, call: Call | None) -> None:
        """Count a refusal."""
        service = call.service if call else ''
        self.refusals[service, refusal.code.value] += 1

    def abandoned(self, call: Call, reason: str) -> None:
        """Count a call that its caller broke off."""
        self.abandonments[call.service, reason] += 1

    def export(self) -> str:
        """Return the metrics as OpenTelemetry JSON."""
        collected = self.reader.get_metrics_data()
        return collected.to_json() if collected else '{}'


def _observe(
    counted: Counted,
    name: str,
) -> Callable[[CallbackOptions], Iterable[Observation]]:
    def observe(_options: CallbackOptions) -> Iterable[Observation]:
        for (service, label), count in counted.items():
            yield Observation(count, {'service': service, name: label})

    return observe
