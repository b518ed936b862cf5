"""Exchange the loads that steering between domains goes by."""

from collections import abc

from zinnialead_core.components.steering import messages
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import world as world_module


def run(
    world: world_module.World,
    now_ms: float,
    inputs: abc.Sequence[inp.Input],
) -> abc.Iterator[out.Output]:
    """Take in the loads that other owners report.

    Writes ``loads``.
    """
    for item in inputs:
        match item:
            case inp.PeerMessage(_, messages.LoadReport(rows)):
                for row in rows:
                    seen = row._replace(seen_ms=now_ms)
                    world.loads[row.service, row.domain] = seen
    yield from ()
