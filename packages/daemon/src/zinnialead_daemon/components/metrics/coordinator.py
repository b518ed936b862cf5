"""Send changed counters and request timings once per period."""

import collections
import itertools

import trio

from zinnialead_daemon.components.front import models as front_models
from zinnialead_daemon.components.metrics import const
from zinnialead_daemon.components.metrics import models

Samples = dict[str, list[float]]


async def run(metrics: models.Metrics) -> None:
    """Flush once per period, without end."""
    while True:
        await trio.sleep(metrics.period_ms / const.MS_PER_S)
        flush(metrics)


def flush(metrics: models.Metrics) -> None:
    """Send the increment of each counter and quantiles of each timer."""
    counters = metrics.engine.world.counters
    increments = (
        (name, count - metrics.sent_counts[name])
        for name, count in list(counters.items())
        if count != metrics.sent_counts[name]
    )
    with metrics.client.pipeline() as pipeline:
        batch = itertools.islice(increments, const.COUNTERS_PER_FLUSH_MAX)
        for name, increment in batch:
            pipeline.incr(name, increment)
            metrics.sent_counts[name] += increment
        for name, elapsed_ms in _take_samples(metrics.front).items():
            for quantile in const.QUANTILES:
                index = int(quantile * (len(elapsed_ms) - 1))
                label = f'{name}.p{int(quantile * 100)}'
                pipeline.timing(label, sorted(elapsed_ms)[index])


def _take_samples(front: front_models.Front) -> Samples:
    samples: Samples = collections.defaultdict(list)
    while front.timings:
        timing = front.timings.popleft()
        samples[f'requests.elapsed.{timing.rank}'].append(timing.elapsed_ms)
    return samples
