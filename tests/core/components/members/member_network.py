"""Join a few entries by a bag of messages on one mock clock."""

import dataclasses
import heapq
import itertools
import random
import typing

import zinnialead_core as core
from zinnialead_core.components import members
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import world as world_module

LATENCY_MS = 1.0


class Mail(typing.NamedTuple):
    due_ms: float
    sequence: int
    entry: str
    item: object


@dataclasses.dataclass
class Bag:
    worlds: dict
    random: random.Random
    now_ms: float = 0.0
    drop_share: float = 0.0
    delay_max_ms: float = 0.0
    mail: list = dataclasses.field(default_factory=list)
    dead: set = dataclasses.field(default_factory=set)
    cut: set = dataclasses.field(default_factory=set)
    told: list = dataclasses.field(default_factory=list)
    sent: dict = dataclasses.field(default_factory=dict)
    due_ms: dict = dataclasses.field(default_factory=dict)
    numbers: object = dataclasses.field(default_factory=itertools.count)
    calls: list = dataclasses.field(default_factory=list)


def new_world(entry, domain, incarnation=1, seed=0):
    ref = ids.EntryRef(entry, incarnation)
    node = world_module.NodeRow(ref, domain, domain[0], f'{entry}:1')
    return core.new_world(node, seed)


def new_bag(domains, seed=1):
    """Return entries named after their domains, with all of them listed."""
    names = {f'{d}{n}': d for d, size in domains.items() for n in range(size)}
    made = Bag({}, random.Random(seed))
    for number, (entry, domain) in enumerate(names.items()):
        made.worlds[entry] = new_world(entry, domain, seed=number)
    for entry in names:
        feed(made, entry, *listing(names))
    return made


def listing(names):
    return [inp.PeerSeen(e, d, f'{e}:1') for e, d in names.items()]


def feed(bag, entry, *items):
    world = bag.worlds[entry]
    outputs = list(core.tick(world, bag.now_ms, items))
    bag.due_ms[entry] = core.next_due_ms(world)
    for output in outputs:
        match output:
            case out.SendPeer(target, message):
                name = type(message).__name__
                bag.sent[name] = bag.sent.get(name, 0) + 1
                _send(bag, entry, target, message)
            case out.LogChange('members', subject, _, after):
                bag.told.append((bag.now_ms, entry, subject, after))
            case out.CallStore():
                bag.calls.append((bag.now_ms, entry, output))


def _send(bag, entry, target, message):
    if target not in bag.worlds or (entry in bag.cut) != (target in bag.cut):
        return
    if bag.random.random() < bag.drop_share:
        return
    ref = bag.worlds[entry].node.ref
    delay_ms = LATENCY_MS + bag.random.uniform(0.0, bag.delay_max_ms)
    item = inp.PeerMessage(ref, message)
    mail = Mail(bag.now_ms + delay_ms, next(bag.numbers), target, item)
    heapq.heappush(bag.mail, mail)


def run_until(bag, end_ms):
    """Deliver mail and run due timers in the order of their times."""
    while True:
        due = [(bag.mail[0].due_ms, '')] if bag.mail else []
        awake = bag.due_ms.keys() - bag.dead
        due.extend((bag.due_ms[entry], entry) for entry in awake)
        if not due or min(due)[0] > end_ms:
            break
        due_ms, entry = min(due)
        bag.now_ms = max(bag.now_ms, due_ms)
        if entry:
            feed(bag, entry)
            continue
        mail = heapq.heappop(bag.mail)
        if mail.entry not in bag.dead:
            feed(bag, mail.entry, mail.item)
    bag.now_ms = end_ms


def health(bag, viewer, entry):
    row = bag.worlds[viewer].members.get(entry)
    return row.health if row else None


def views(bag, entry):
    """Return what the living others believe of an entry."""
    return {
        health(bag, viewer, entry)
        for viewer in bag.worlds
        if viewer != entry and viewer not in bag.dead
    }


def all_alive(bag):
    alive = {members.Health.ALIVE}
    return all(views(bag, entry) == alive for entry in bag.worlds)
