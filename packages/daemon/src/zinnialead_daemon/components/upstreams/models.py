"""Define the connection pools of an entry."""

import dataclasses

import httpcore

from zinnialead_daemon.components.engine import models as engine_models
from zinnialead_daemon.components.front import models as front_models


@dataclasses.dataclass(slots=True)
class Pools:
    """Hold one connection pool for each upstream's address."""

    engine: engine_models.Engine
    front: front_models.Front
    by_address: dict[str, httpcore.AsyncConnectionPool]
