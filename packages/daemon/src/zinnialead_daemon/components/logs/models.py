"""Define what bounds the rate of log lines."""

import dataclasses

from zinnialead_daemon.components.engine import models as engine_models
from zinnialead_daemon.components.logs import const


@dataclasses.dataclass(slots=True)
class Logs:
    """Hold how many lines may be written now."""

    engine: engine_models.Engine
    tokens: float
    filled_ms: float


def new_logs(engine: engine_models.Engine) -> Logs:
    """Return logs with a full burst left."""
    return Logs(engine, const.LINES_BURST_MAX, engine.now_ms())
