"""Define what a run of the fuzzing knows beside its fleet."""

import typing

from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_lab import fleet as fleets
from zinnialead_lab.fleet import models as fleet_models


class Run(typing.NamedTuple):
    """Hold a fleet, and what the oracle has to remember of the rules.

    ``copied`` names work whose key went to more than one entry;
    ``asked`` are the callers of such work, who may ask again;
    ``checked`` counts the runs that the oracle has looked at.
    """

    fleet: fleets.Fleet
    copied: set[fleets.WorkId]
    asked: list[fleet_models.CallerRow]
    states: dict[int, tickets.State]
    leaving: dict[ids.UpstreamId, float]
    checked: list[int]


def new_run(fleet: fleets.Fleet) -> Run:
    """Return a run in which nothing has happened yet."""
    states = {fleet.state.number: fleet.state}
    return Run(fleet, set(), [], states, {}, [0])
