"""Render counters and histograms in the Prometheus text format."""

import bisect
from collections import abc
import dataclasses
import typing

from zinnialead_core.gateway.store import catch_up
from zinnialead_core.gateway.store import models as store
from zinnialead_gateway import engine as engines
from zinnialead_gateway.http import models as http_models

# Upper bounds of the buckets, in ms. Services have target latencies between
# 200 ms and 6 s.
BUCKETS_MS = (5, 20, 50, 100, 200, 400, 800, 1_600, 3_200, 6_400, 12_800)


@dataclasses.dataclass(slots=True)
class Metrics:
    """Hold latency histograms by route; the engine holds the counters."""

    engine: engines.Engine
    latencies: dict[str, list[int]] = dataclasses.field(default_factory=dict)
    sums_ms: dict[str, float] = dataclasses.field(default_factory=dict)


def observe(metrics: Metrics, route: str, elapsed_ms: float) -> None:
    """Add a latency to the histogram of a route."""
    counts = metrics.latencies.get(route)
    if counts is None:
        counts = metrics.latencies[route] = [0] * (len(BUCKETS_MS) + 1)
    counts[bisect.bisect_left(BUCKETS_MS, elapsed_ms)] += 1
    metrics.sums_ms[route] = metrics.sums_ms.get(route, 0.0) + elapsed_ms


def render_page(metrics: Metrics) -> http_models.Response:
    """Return the metrics page as a response."""
    # Imported on demand, as few processes ever serve the page.
    import prometheus_client
    from prometheus_client import exposition
    from prometheus_client import registry as registries

    registry = registries.CollectorRegistry()
    registry.register(typing.cast('typing.Any', _Collector(metrics)))
    body = exposition.generate_latest(registry)
    content_type = prometheus_client.CONTENT_TYPE_LATEST.encode()
    return http_models.Response(200, [(b'Content-Type', content_type)], body)


@dataclasses.dataclass(frozen=True, eq=False)
class _Collector:
    """Provide the metrics to prometheus_client, which calls ``collect``."""

    metrics: Metrics

    def collect(self) -> abc.Iterator[typing.Any]:
        """Yield all metrics."""
        yield from collect(self.metrics)


def collect(metrics: Metrics) -> abc.Iterator[typing.Any]:
    """Yield counters, table sizes and histograms."""
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
    behind = metrics_core.GaugeMetricFamily(
        'zinnialead_behind_ms',
        'Time since another entry told of a change that is missing here',
        labels=['kind'],
    )
    now_ms = engines.now_ms()
    for kind in store.Kind:
        missing_ms = catch_up.behind_ms(world, now_ms, kind)
        behind.add_metric([kind.value], missing_ms)
    yield behind
    durations = metrics_core.HistogramMetricFamily(
        'zinnialead_request_ms', 'Time to an answer', labels=['route']
    )
    for name, counts in metrics.latencies.items():
        durations.add_metric([name], _buckets(counts), metrics.sums_ms[name])
    yield durations


def _buckets(counts: list[int]) -> list[tuple[str, int]]:
    total = 0
    buckets = []
    for upper_bound_ms, count in zip(
        (*map(str, BUCKETS_MS), '+Inf'), counts, strict=True
    ):
        total += count
        buckets.append((upper_bound_ms, total))
    return buckets
