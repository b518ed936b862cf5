"""Define the state of the metrics sender."""

import collections
import dataclasses

import statsd

from zinnialead_config.settings import models as settings
from zinnialead_daemon.components.engine import models as engine_models
from zinnialead_daemon.components.front import models as front_models
from zinnialead_daemon.components.metrics import const


@dataclasses.dataclass(slots=True)
class Metrics:
    """Hold the statsd client and the counter values sent so far."""

    engine: engine_models.Engine
    front: front_models.Front
    client: statsd.StatsClient
    period_ms: float
    sent_counts: 'collections.Counter[str]'


def new_metrics(
    engine: engine_models.Engine,
    front: front_models.Front,
    server: settings.Statsd,
) -> Metrics:
    """Return metrics with nothing sent yet."""
    entry = engine.world.node.ref.entry
    client = statsd.StatsClient(
        server.host, server.port, prefix=f'{const.PREFIX}.{entry}'
    )
    sent_counts: collections.Counter[str] = collections.Counter()
    return Metrics(engine, front, client, server.period_ms, sent_counts)
