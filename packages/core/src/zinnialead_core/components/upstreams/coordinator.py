"""Take in what upstreams say of themselves."""

from collections import abc

from zinnialead_core.components.upstreams import models
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import world as world_module


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Record the reports of upstreams.

    Writes ``upstreams``.
    """
    for item in inputs:
        match item:
            case inp.UpstreamReport(upstream, healthy, in_flight, leaving):
                row = world.upstreams.get(upstream)
                failures = row.failures if row else 0
                world.upstreams[upstream] = models.HealthRow(
                    upstream=upstream,
                    healthy=healthy,
                    leaving=leaving,
                    failures=failures,
                    out_until_ms=0.0,
                    told_in_flight=in_flight,
                    heard_ms=now_ms,
                )
    yield from ()
