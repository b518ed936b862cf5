"""Define the state of the log's rate limit."""

import dataclasses

from zinnialead_core import buckets
from zinnialead_daemon.components.engine import models as engine_models
from zinnialead_daemon.components.logs import const


@dataclasses.dataclass(slots=True)
class Logs:
    """Hold the token bucket that limits log lines."""

    engine: engine_models.Engine
    bucket: buckets.BucketRow


def new_logs(engine: engine_models.Engine) -> Logs:
    """Return logs whose token bucket is full."""
    bucket = buckets.BucketRow(const.LINES_BURST_MAX, engine.now_ms())
    return Logs(engine, bucket)
