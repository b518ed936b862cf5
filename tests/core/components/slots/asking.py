"""Helpers that ask a slot owner as another entry and deliver messages."""

from core import samples
import zinnialead_core as core
from zinnialead_core.components import slots
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import world as world_module

ASKER = ids.EntryRef('asker', 1)


def ask_id(number: int, asker: ids.EntryRef = ASKER) -> ids.AskId:
    return ids.AskId(asker, number, 1)


def ask(
    number: int,
    rank: str = 'urgent',
    left_ms: float = 5_000.0,
    domain: str = samples.DOMAIN,
    asker: ids.EntryRef = ASKER,
    avoid: str | None = None,
) -> slots.SlotAsk:
    return slots.SlotAsk(
        ask_id(number, asker), 'pricebook', rank, left_ms, domain, avoid
    )


def give_back(number, end=slots.SlotEnd.SERVED, elapsed_ms=20.0):
    return slots.SlotReturn(ask_id(number), 'any', elapsed_ms, end)


def tell(world, now_ms, *messages):
    """Deliver messages of the asker and return the owner's answers."""
    given = [inp.PeerMessage(ASKER, message) for message in messages]
    return [
        output.message
        for output in core.tick(world, now_ms, given)
        if isinstance(output, out.SendPeer) and output.entry == 'asker'
    ]


def granted(answers):
    return [
        answer.ask_id.request_id
        for answer in answers
        if getattr(answer, 'upstream', None) is not None
    ]


def refused(answers):
    return {
        answer.ask_id.request_id: answer.refusal.reason.value
        for answer in answers
        if getattr(answer, 'refusal', None) is not None
    }


def world_with(now_ms=1.0, slots=3, upstreams=1, queue_max=100, **fields):
    """Return the world of a slot owner with state number 2 in force."""
    world = samples.world(slots=slots)
    state = samples.state(slots=slots, number=2)
    template = state.upstreams['pricebook-1']
    upstream_rows = {
        f'pricebook-{n}': template._replace(upstream=f'pricebook-{n}')
        for n in range(1, upstreams + 1)
    }
    service = state.services['pricebook']._replace(queue_max=queue_max)
    state = state._replace(
        services={**state.services, 'pricebook': service},
        upstreams={**state.upstreams, **upstream_rows},
        **fields,
    )
    world.upstreams.clear()
    list(core.tick(world, now_ms, [inp.StateRead(state)]))
    return world


def put_in_force(world, now_ms, **fields):
    """Put a state with the next number in force and return the answers."""
    state = world.states['in-force']
    state = state._replace(number=state.number + 1, **fields)
    outputs = list(core.tick(world, now_ms, [inp.StateRead(state)]))
    return [x.message for x in outputs if isinstance(x, out.SendPeer)]


def two_worlds():
    """Return the worlds of two entries in one domain."""
    worlds = {}
    seen = [inp.PeerSeen(name, samples.DOMAIN, name) for name in ('e1', 'e2')]
    state = samples.state()
    for name in ('e1', 'e2'):
        node = world_module.NodeRow(
            ids.EntryRef(name, 1), samples.DOMAIN, 'kigali', name
        )
        worlds[name] = core.new_world(node, seed=1)
        given = [*seen, inp.StateRead(state)]
        list(core.tick(worlds[name], 0.0, given))
    return worlds


def tick(world, now_ms, *inputs):
    """Run a tick and return its outputs except store calls."""
    return [
        output
        for output in core.tick(world, now_ms, inputs)
        if not isinstance(output, out.CallStore)
    ]


def run_until_idle(worlds, now_ms, entry, *inputs):
    """Run ticks until no messages are left; return all other outputs."""
    other_outputs = []
    pending = [(entry, list(inputs))]
    while pending:
        name, given = pending.pop(0)
        for output in tick(worlds[name], now_ms, *given):
            match output:
                case out.SendPeer(to, message):
                    peer_message = inp.PeerMessage(
                        worlds[name].node.ref, message
                    )
                    pending += [(to, [peer_message])] if to in worlds else []
                case _:
                    other_outputs.append(output)
    return other_outputs
