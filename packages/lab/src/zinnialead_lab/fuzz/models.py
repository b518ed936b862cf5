"""Define the record of a fuzzing run."""

import typing

from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_lab import fleet as fleets
from zinnialead_lab.fleet import models as fleet_models


class Run(typing.NamedTuple):
    """Hold a fleet and what the oracle needs to know of past actions.

    ``duplicated`` is the work whose key went to more than one entry;
    ``duplicated_calls`` are the calls of such work, for retries;
    ``states`` are by ticket number; the one element of
    ``checked_run_count`` is how many runs the oracle has checked.
    """

    fleet: fleets.Fleet
    duplicated: set[fleets.WorkId]
    duplicated_calls: list[fleet_models.CallerRow]
    states: dict[int, tickets.State]
    leaving_since_ms: dict[ids.UpstreamId, float]
    checked_run_count: list[int]


def new_run(fleet: fleets.Fleet) -> Run:
    """Return a new run over a fleet."""
    states = {fleet.state.number: fleet.state}
    return Run(fleet, set(), [], states, {}, [0])
