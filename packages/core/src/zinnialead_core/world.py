"""Define the tables that the systems run over."""

import collections
import random
import typing

from zinnialead_core.components import keys
from zinnialead_core.components import lookups
from zinnialead_core.components import members
from zinnialead_core.components import requests
from zinnialead_core.components.requests import const as request_const
from zinnialead_core.components import slots
from zinnialead_core.components import steering
from zinnialead_core.components import store
from zinnialead_core.components import tickets
from zinnialead_core.components import upstreams
from zinnialead_core import ids
from zinnialead_core import notices
from zinnialead_core import timers


class NodeRow(typing.NamedTuple):
    """Describe this entry, and where peers and callers reach it.

    ``stop_grace_ms`` is how long it may still run once asked to stop.
    """

    ref: ids.EntryRef
    domain: ids.DomainId
    region: ids.RegionId
    address: str
    callers_address: str = ''
    stop_grace_ms: float = request_const.STOP_GRACE_MS


class World(typing.NamedTuple):
    """Hold every table of one entry."""

    node: NodeRow
    states: dict[str, tickets.State]
    spread: tickets.SpreadTable
    members: dict[ids.EntryId, members.MemberRow]
    probes: members.ProbeTable
    upstreams: dict[ids.UpstreamId, upstreams.HealthRow]
    pauses: notices.PauseTable
    requests: requests.RequestTable
    asks: slots.AskTable
    queues: slots.QueueTable
    claims: keys.ClaimTable
    bindings: keys.BindingTable
    registrations: keys.RegistrationTable
    lookups: lookups.LookUpTable
    loads: steering.LoadTable
    shifts: steering.ShiftTable
    store: store.StoreTable
    timers: timers.TimerTable[timers.Timer]
    counters: collections.Counter[str]
    random: random.Random


def new_world(node: NodeRow, seed: int) -> World:
    """Return the tables of an entry that knows no peers yet."""
    return World(
        node=node,
        states={'in-force': tickets.empty_state()},
        spread=tickets.new_spread(),
        members={},
        probes=members.new_probes(),
        upstreams={},
        pauses=notices.new_pauses('upstreams'),
        requests=requests.new_table(),
        asks=slots.new_asks(),
        queues=slots.new_queues(),
        claims=keys.new_claims(),
        bindings=keys.new_bindings(),
        registrations=keys.new_registrations(),
        lookups=lookups.new_table(),
        loads=steering.new_loads(),
        shifts=steering.new_shifts(),
        store=store.new_table(),
        timers=timers.new_table(),
        counters=collections.Counter(),
        random=random.Random(seed),
    )
