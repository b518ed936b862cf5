"""Build the dump of an entry's whole state."""

import typing

from zinnialead_core.components.keys import diagnostics as keys
from zinnialead_core.components.lookups import diagnostics as lookups
from zinnialead_core.components.members import diagnostics as members
from zinnialead_core.components.requests import diagnostics as requests
from zinnialead_core.components.slots import diagnostics as slots
from zinnialead_core.components.steering import diagnostics as steering
from zinnialead_core.components.store import diagnostics as store
from zinnialead_core.components.tickets import diagnostics as tickets
from zinnialead_core.components.upstreams import diagnostics as upstreams
from zinnialead_core import world as world_module


class Dump(typing.TypedDict):
    """Hold every component's part of the dump."""

    entry: str
    incarnation: int
    domain: str
    region: str
    keys: keys.KeysDump
    lookups: lookups.LookUpsDump
    members: members.MembersDump
    requests: requests.RequestsDump
    slots: slots.SlotsDump
    steering: steering.SteeringDump
    store: store.StoreDump
    tickets: tickets.TicketsDump
    upstreams: upstreams.UpstreamsDump
    counters: dict[str, int]


def dump(world: world_module.World, now_ms: float) -> Dump:
    """Return the state of an entry, without keys, bodies or secrets."""
    return Dump(
        entry=world.node.ref.entry,
        incarnation=world.node.ref.incarnation,
        domain=world.node.domain,
        region=world.node.region,
        keys=keys.dump(world),
        lookups=lookups.dump(world),
        members=members.dump(world),
        requests=requests.dump(world),
        slots=slots.dump(world),
        steering=steering.dump(world),
        store=store.dump(world),
        tickets=tickets.dump(world),
        upstreams=upstreams.dump(world, now_ms),
        counters=dict(world.counters),
    )
