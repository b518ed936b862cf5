"""Send what changed since the last time, once a period."""

import collections
import itertools

import trio

from zinnialead_daemon.components.front import models as front_models
from zinnialead_daemon.components.metrics import const
from zinnialead_daemon.components.metrics import models

Samples = dict[str, list[float]]


async def run(metrics: models.Metrics) -> None:
    """Flush once a period, for good."""
    while True:
        await trio.sleep(metrics.period_ms / const.MS_PER_S)
        flush(metrics)


def flush(metrics: models.Metrics) -> None:
    """Send the growth of each counter, and quantiles of each timer."""
    counters = metrics.engine.world.counters
    grown = (
        (name, count - metrics.sent[name])
        for name, count in list(counters.items())
        if count != metrics.sent[name]
    )
    with metrics.client.pipeline() as pipe:
        kept = itertools.islice(grown, const.COUNTERS_PER_FLUSH_MAX)
        for name, growth in kept:
            pipe.incr(name, growth)
            metrics.sent[name] += growth
        for name, elapsed_ms in _samples(metrics.front).items():
            for share in const.QUANTILES:
                place = int(share * (len(elapsed_ms) - 1))
                label = f'{name}.p{int(share * 100)}'
                pipe.timing(label, sorted(elapsed_ms)[place])


def _samples(front: front_models.Front) -> Samples:
    found: Samples = collections.defaultdict(list)
    while front.timings:
        row = front.timings.popleft()
        found[f'requests.elapsed.{row.rank}'].append(row.elapsed_ms)
    return found
