"""Let the cores of entries call the store stand-in on trio's mock clock."""

import dataclasses

import msgspec
import trio

from core import samples
import zinnialead_config as config
import zinnialead_core as core
from zinnialead_core.components import store as core_store
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_daemon.components import engine as engines
from zinnialead_daemon.components.store import coordinator
from zinnialead_daemon.components.store import documents
from zinnialead_daemon.components.store import models
from zinnialead_standins import store as stores

MS_PER_S = 1_000.0
START_S = 1_000.0
STEP_S = 0.01


@dataclasses.dataclass
class Fleet:
    """Hold entries that share a store; messages between them arrive.

    Names in ``stopped`` neither send nor receive.
    """

    nursery: trio.Nursery
    store: stores.Store
    engines: dict = dataclasses.field(default_factory=dict)
    outputs: list = dataclasses.field(default_factory=list)
    stopped: set = dataclasses.field(default_factory=set)


def now_ms():
    return (START_S + trio.current_time()) * MS_PER_S


def start_entry(fleet, name, peers=(), incarnation=1):
    """Start an entry that knows its peers' addresses."""
    node = core.NodeRow(
        ids.EntryRef(name, incarnation), samples.DOMAIN, 'kigali', name
    )
    engine = engines.new_engine(core.new_world(node, seed=incarnation), now_ms)
    fleet.engines[name] = engine
    client = models.Client(engine, fleet.nursery, ('store:1',), None)
    handlers = engine.handlers
    handlers['call_store'] = lambda output: fleet.nursery.start_soon(
        answer_call, fleet, client, output
    )
    handlers['send_peer'] = lambda output: fleet.nursery.start_soon(
        deliver, fleet, node.ref, output
    )
    for kind in ('dispatch', 'cancel', 'answer'):
        handlers[kind] = lambda output: fleet.outputs.append((name, output))
    seen = [inp.PeerSeen(x, samples.DOMAIN, x) for x in (name, *peers)]
    engines.feed(engine, *seen)
    fleet.nursery.start_soon(engines.run_timers, engine)
    return engine


async def deliver(fleet, sender, output):
    await trio.sleep(0.001)
    engine = fleet.engines.get(output.entry)
    if engine is None or {sender.entry, output.entry} & fleet.stopped:
        return
    engines.feed(engine, inp.PeerMessage(sender, output.message))


async def answer_call(fleet, client, output):
    name = client.engine.world.node.ref.entry
    left_s = (output.deadline_ms - now_ms()) / MS_PER_S
    request = documents.request(output.call, left_s)
    await trio.sleep(0.001)
    reply = await stores.answer(
        fleet.store, request.method, request.path, request.body or b''
    )
    if name in fleet.stopped or fleet.engines[name] is not client.engine:
        return
    if reply is None:
        cut = core_store.Failed(output.call.name, 'the connection was cut')
        coordinator._feed(client, output, cut)
        return
    answer = models.Answer(reply.status, reply.body, 0.0, reply.era)
    coordinator._process_answer(client, output, answer)


def file_state(fleet, number, operator='ops'):
    """Write a state as the command line does."""
    notes = [
        tickets.TicketNote(n, f'digest-{n}', 'ops', 0.0)
        for n in range(1, number)
    ]
    digest = f'digest-{number}' if operator == 'ops' else operator
    notes.append(tickets.TicketNote(number, digest, operator, 0.0))
    state = samples.state(number=number)._replace(history=tuple(notes))
    spec = msgspec.json.decode(config.encode_state(state))
    stores.put(fleet.store, 'state', 'state', spec)


def stored_number(fleet):
    """Return the number of the state in the store, None without one."""
    stored = fleet.store.objects['state'].get('state')
    return stored and stored['spec']['number']


def number_in_force(engine):
    return engine.world.states['in-force'].number


async def run_until(condition, limit_s):
    """Return whether the condition held within a time."""
    for _ in range(round(limit_s / STEP_S)):
        if condition():
            return True
        await trio.sleep(STEP_S)
    return condition()
