"""Join the keys systems of a few entries by a bag of messages."""

import random
import typing

import zinnialead_core as core
from zinnialead_core.components import keys
from zinnialead_core.components.keys import coordinator
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import verdict
from zinnialead_core import world as world_module

NAMES = ('a', 'b', 'c', 'd')
SKEWS_MS = {'a': 0.0, 'b': 900.0, 'c': -900.0, 'd': 0.0}
START_MS = 1_000_000.0
NOT_RUN = verdict.Verdict.NOT_RUN
ENDS = (
    verdict.Answered(201, b'done'),
    verdict.Answered(201, b'done'),
    verdict.Shed(),
    verdict.Lost(),
)


class Packet(typing.NamedTuple):
    sender: ids.EntryRef
    to: str
    message: object


class Copy(typing.NamedTuple):
    """One copy of a request: where it is and what became of it."""

    request_id: int
    holder: ids.EntryRef
    key: str
    deadline_ms: float
    state: str = 'claim'


class Bag(typing.NamedTuple):
    worlds: dict[str, core.World]
    paused: set[str]
    packets: list[Packet]
    copies: dict[int, Copy]
    barred: set[str]
    now_ms: list[float]


def new_world(name: str, incarnation: int) -> core.World:
    ref = ids.EntryRef(name, incarnation)
    node = world_module.NodeRow(ref, 'domain', 'region', name)
    return core.new_world(node, seed=1)


def new_bag() -> Bag:
    worlds = {name: new_world(name, 1) for name in NAMES}
    return Bag(worlds, set(), [], {}, set(), [START_MS])


def issue(bag: Bag, nonce: int, home: str = 'a', witness: str = 'b') -> str:
    refs = [bag.worlds[x].node.ref for x in (home, witness)]
    return f'{keys.prefix(*refs, START_MS)}.{nonce}'


def feed(bag: Bag, name: str, *given: inp.Input) -> None:
    world = bag.worlds[name]
    now_ms = bag.now_ms[0] + SKEWS_MS[name]
    due = timers.pop_due(world.timers, now_ms)
    batch = [*given, *map(inp.TimerDue, due)]
    while batch:
        told = []
        for output in coordinator.run(world, now_ms, batch):
            told += carry_out(bag, name, now_ms, output)
        batch = told


def carry_out(bag: Bag, name: str, now_ms: float, output: out.Output):
    ref = bag.worlds[name].node.ref
    match output:
        case out.SendPeer(entry, message) if entry == name:
            return [inp.PeerMessage(ref, message)]
        case out.SendPeer(entry, message):
            bag.packets.append(Packet(ref, entry, message))
        case out.Notify(inp.ClaimHeld(request_id)):
            set_state(bag, request_id, 'listed')
        case out.Notify(inp.ClaimConfirmed(request_id)):
            set_state(bag, request_id, 'held')
        case out.Notify(inp.ClaimDenied(request_id, denial)):
            set_state(bag, request_id, 'denied')
            check_denial(bag, bag.copies[request_id], denial)
        case out.Notify(inp.ClaimClosed()):
            pass
        case other:
            raise AssertionError(other)
    return []


def set_state(bag: Bag, request_id: int, state: str) -> None:
    bag.copies[request_id] = bag.copies[request_id]._replace(state=state)


def states(bag: Bag, key: str) -> set[str]:
    return {x.state for x in bag.copies.values() if x.key == key}


def check_denial(bag: Bag, copy: Copy, denial: keys.Denial) -> None:
    seen = states(bag, copy.key)
    match denial:
        case keys.Recorded(status, _):
            assert status == 201
            assert 'ran' in seen, 'an answer replayed that nobody gave'
        case keys.Denied(refusal) if refusal.verdict is NOT_RUN:
            assert not seen & {'running', 'ran', 'lost'}, 'a false not-run'
            if refusal.reason is verdict.Reason.KEY_BARRED:
                bag.barred.add(copy.key)


def arrive(bag: Bag, name: str, key: str, deadline_ms: float) -> int:
    request_id = len(bag.copies) + 1
    holder = bag.worlds[name].node.ref
    due_ms = bag.now_ms[0] + SKEWS_MS[name] + deadline_ms
    bag.copies[request_id] = Copy(request_id, holder, key, due_ms)
    feed(bag, name, inp.ClaimWanted(request_id, key, None, due_ms))
    return request_id


def confirm(bag: Bag, request_id: int) -> None:
    """Tell the keys system that a request's slot has come."""
    name = bag.copies[request_id].holder.entry
    feed(bag, name, inp.ConfirmWanted(request_id))


def dispatch(bag: Bag, copy: Copy) -> None:
    """Do what the requests system does with a key that it holds."""
    name = copy.holder.entry
    if bag.now_ms[0] + SKEWS_MS[name] >= copy.deadline_ms:
        return
    seen = states(bag, copy.key)
    assert not seen & {'running', 'ran', 'lost'}, 'a double run'
    assert copy.key not in bag.barred, 'a barred key ran'
    set_state(bag, copy.request_id, 'running')


def end(bag: Bag, copy: Copy, outcome: verdict.Outcome) -> None:
    state = {'ran': 'ran', 'not-run': 'free', 'may-have-run': 'lost'}
    known = state[verdict.verdict_of(outcome)]
    set_state(bag, copy.request_id, known)
    ended = inp.ClaimEnded(copy.request_id, outcome)
    feed(bag, copy.holder.entry, ended)


def restart(bag: Bag, name: str) -> None:
    ref = bag.worlds[name].node.ref
    bag.worlds[name] = new_world(name, ref.incarnation + 1)
    for copy in list(bag.copies.values()):
        if copy.holder == ref and copy.state in ('claim', 'listed', 'held'):
            set_state(bag, copy.request_id, 'gone')
        if copy.holder == ref and copy.state == 'running':
            set_state(bag, copy.request_id, 'lost')


def of_live(bag: Bag, *wanted: str) -> list[Copy]:
    """Return the copies in one of these states on an entry that runs."""
    return [
        x
        for x in bag.copies.values()
        if x.state in wanted
        and x.holder.entry not in bag.paused
        and bag.worlds[x.holder.entry].node.ref == x.holder
    ]


def step(bag: Bag, operation: str, pick: int) -> None:
    """Do one thing that the world may do to the entries."""
    name = NAMES[pick % len(NAMES)]
    match operation:
        case 'arrive' if name not in bag.paused:
            issued = issue_old(bag, pick)
            arrive(bag, name, issued, (300.0, 3_000.0)[pick // 4 % 2])
        case 'deliver' | 'duplicate' | 'drop' if bag.packets:
            _move(bag, operation, pick)
        case 'dispatch' if copies := of_live(bag, 'listed', 'held'):
            _go_on(bag, copies[pick % len(copies)])
        case 'end' if copies := of_live(bag, 'running'):
            copy = copies[pick % len(copies)]
            end(bag, copy, ENDS[pick // 4 % len(ENDS)])
        case 'late' if copies := of_live(bag, 'lost'):
            _late(bag, copies[pick % len(copies)])
        case 'abandon' if copies := of_live(bag, 'claim', 'listed', 'held'):
            end(bag, copies[pick % len(copies)], verdict.NotSent())
        case _:
            _disturb(bag, operation, pick)


def _go_on(bag: Bag, copy: Copy) -> None:
    if copy.state == 'listed':
        confirm(bag, copy.request_id)
    else:
        dispatch(bag, copy)


def _disturb(bag: Bag, operation: str, pick: int) -> None:
    name = NAMES[pick % len(NAMES)]
    match operation:
        case 'advance':
            _advance(bag, (1.0, 100.0, 260.0, 1_100.0)[pick % 4])
        case 'age':
            bag.now_ms[0] += 300_000.0
        case 'pause':
            bag.paused.symmetric_difference_update({name})
        case 'restart':
            restart(bag, name)
        case 'lost' if name not in bag.paused:
            other = NAMES[pick // 4 % len(NAMES)]
            ref = bag.worlds[other].node.ref
            if other != name:
                feed(bag, name, inp.MemberLost(ref))


def issue_old(bag: Bag, pick: int) -> str:
    """Return one of the latest keys, some of a run that is no more."""
    recent = [x.key for x in list(bag.copies.values())[-8:]]
    if recent and pick % 8 < 5:
        return recent[pick % len(recent)]
    home, witness = (bag.worlds[x].node.ref.incarnation for x in 'ab')
    nonce = len(bag.copies)
    issued_ms = START_MS + (bag.now_ms[0] - START_MS) // 300_000 * 300_000
    pair = f'a.{home}.-.0' if nonce % 3 == 0 else f'a.{home}.b.{witness}'
    return f'z1.{pair}.{issued_ms:.0f}.{nonce}'


def _advance(bag: Bag, elapsed_ms: float) -> None:
    bag.now_ms[0] += elapsed_ms
    for name in NAMES:
        if name not in bag.paused:
            feed(bag, name)


def _move(bag: Bag, operation: str, pick: int) -> None:
    place = pick % len(bag.packets)
    packet = bag.packets[place]
    if operation == 'drop':
        del bag.packets[place]
    if operation == 'drop' or packet.to in bag.paused:
        return
    if operation == 'deliver':
        del bag.packets[place]
    feed(bag, packet.to, inp.PeerMessage(packet.sender, packet.message))


def _late(bag: Bag, copy: Copy) -> None:
    set_state(bag, copy.request_id, 'ran')
    done = inp.DispatchDone(copy.request_id, 1, verdict.Answered(201, b'x'))
    feed(bag, copy.holder.entry, done)


OPERATIONS = (
    *['deliver'] * 10,
    *['arrive', 'dispatch', 'end', 'advance'] * 2,
    *['duplicate', 'drop', 'abandon', 'late'],
    *['pause', 'restart', 'lost', 'age'],
)
RARE = ('restart', 'age', 'lost')


def soak(seed: int, steps: int) -> Bag:
    """Take random steps from a seed."""
    chooser = random.Random(seed)
    bag = new_bag()
    for _ in range(steps):
        operation = chooser.choice(OPERATIONS)
        if operation in RARE and chooser.random() < 0.9:
            continue
        step(bag, operation, chooser.randrange(64))
    return bag
