"""Render counters and histograms in the usual text format."""

import bisect
from collections import abc
import dataclasses
import typing

from zinnialead_gateway import engine as engines
from zinnialead_gateway.http import models as http_models

# Upper bounds of the buckets, in ms: targets of the services seen lie
# between 200 ms and 6 s.
BUCKETS_MS = (5, 20, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800)


@dataclasses.dataclass(slots=True)
class Metrics:
    """Hold latencies by name, and where the counters are."""

    engine: engines.Engine
    latencies: dict[str, list[int]] = dataclasses.field(default_factory=dict)
    sums_ms: dict[str, float] = dataclasses.field(default_factory=dict)


def observe(metrics: Metrics, name: str, elapsed_ms: float) -> None:
    """Count one latency."""
    counts = metrics.latencies.get(name)
    if counts is None:
        counts = metrics.latencies[name] = [0] * (len(BUCKETS_MS) + 1)
    counts[bisect.bisect_left(BUCKETS_MS, elapsed_ms)] += 1
    metrics.sums_ms[name] = metrics.sums_ms.get(name, 0.0) + elapsed_ms


def page(metrics: Metrics) -> http_models.Response:
    """Return the metrics page."""
    # Imported on demand: few processes are ever asked for the page.
    import prometheus_client
    from prometheus_client import exposition
    from prometheus_client import registry as registries

    registry = registries.CollectorRegistry()
    registry.register(typing.cast('typing.Any', _Collector(metrics)))
    body = exposition.generate_latest(registry)
    kind = prometheus_client.CONTENT_TYPE_LATEST.encode()
    return http_models.Response(200, [(b'Content-Type', kind)], body)


@dataclasses.dataclass(frozen=True, eq=False)
class _Collector:
    """Give the library the metrics; it calls ``collect``."""

    metrics: Metrics

    def collect(self) -> abc.Iterator[typing.Any]:
        """Yield every metric."""
        yield from collect(self.metrics)


def collect(metrics: Metrics) -> abc.Iterator[typing.Any]:
    """Yield counters, tables' sizes and histograms."""
    from prometheus_client import metrics_core

    world = metrics.engine.world
    events = metrics_core.CounterMetricFamily(
        'zinnialead_events', 'Events by name', labels=['event']
    )
    for name, count in sorted(world.counters.items()):
        events.add_metric([name], count)
    yield events
    sizes = metrics_core.GaugeMetricFamily(
        'zinnialead_rows', 'Rows by table', labels=['table']
    )
    sizes.add_metric(['requests'], len(world.requests.rows))
    sizes.add_metric(['upstreams'], len(world.upstreams.rows))
    sizes.add_metric(['entries'], len(world.entries.rows))
    yield sizes
    spans = metrics_core.HistogramMetricFamily(
        'zinnialead_request_ms', 'Time to an answer', labels=['route']
    )
    for name, counts in metrics.latencies.items():
        spans.add_metric([name], _buckets(counts), metrics.sums_ms[name])
    yield spans


def _buckets(counts: list[int]) -> list[tuple[str, int]]:
    total = 0
    buckets = []
    for limit_ms, count in zip(
        (*map(str, BUCKETS_MS), '+Inf'), counts, strict=True
    ):
        total += count
        buckets.append((limit_ms, total))
    return buckets
