"""Simulate the keys systems of entries on a network that loses messages."""

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
CLOCK_SKEWS_MS = {'a': 0.0, 'b': 900.0, 'c': -900.0, 'd': 0.0}
START_MS = 1_000_000.0
NOT_RUN = verdict.Verdict.NOT_RUN
OUTCOMES = (
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
    """One copy of a request, and how far it got at its holder.

    States: claim, listed (the home granted it), held (confirmed), running,
    ran, free (did not run), lost (may have run), denied, and gone (its
    holder restarted before the work ran).
    """

    request_id: int
    holder: ids.EntryRef
    key: str
    deadline_ms: float
    state: str = 'claim'


class Network(typing.NamedTuple):
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


def new_network() -> Network:
    worlds = {name: new_world(name, 1) for name in NAMES}
    return Network(worlds, set(), [], {}, set(), [START_MS])


def issue(
    network: Network, nonce: int, home: str = 'a', witness: str = 'b'
) -> str:
    refs = [network.worlds[x].node.ref for x in (home, witness)]
    return f'{keys.prefix(*refs, START_MS)}.{nonce}'


def feed(network: Network, name: str, *inputs: inp.Input) -> None:
    world = network.worlds[name]
    now_ms = network.now_ms[0] + CLOCK_SKEWS_MS[name]
    due = timers.pop_due(world.timers, now_ms)
    batch = [*inputs, *map(inp.TimerDue, due)]
    while batch:
        follow_ups = []
        for output in coordinator.run(world, now_ms, batch):
            follow_ups += apply_output(network, name, now_ms, output)
        batch = follow_ups


def apply_output(
    network: Network, name: str, now_ms: float, output: out.Output
):
    ref = network.worlds[name].node.ref
    match output:
        case out.SendPeer(entry, message) if entry == name:
            return [inp.PeerMessage(ref, message)]
        case out.SendPeer(entry, message):
            network.packets.append(Packet(ref, entry, message))
        case out.Notify(inp.ClaimHeld(request_id)):
            set_state(network, request_id, 'listed')
        case out.Notify(inp.ClaimConfirmed(request_id)):
            set_state(network, request_id, 'held')
        case out.Notify(inp.ClaimDenied(request_id, denial)):
            set_state(network, request_id, 'denied')
            check_denial(network, network.copies[request_id], denial)
        case out.Notify(inp.ClaimClosed()):
            pass
        case unexpected:
            raise AssertionError(unexpected)
    return []


def set_state(network: Network, request_id: int, state: str) -> None:
    network.copies[request_id] = network.copies[request_id]._replace(
        state=state
    )


def states(network: Network, key: str) -> set[str]:
    return {x.state for x in network.copies.values() if x.key == key}


def check_denial(network: Network, copy: Copy, denial: keys.Denial) -> None:
    copy_states = states(network, copy.key)
    match denial:
        case keys.Recorded(status, _):
            assert status == 201
            assert 'ran' in copy_states, (
                'an answer was replayed that no copy got'
            )
        case keys.Denied(refusal) if refusal.verdict is NOT_RUN:
            assert not copy_states & {'running', 'ran', 'lost'}, (
                'not-run was reported for work that may have run'
            )
            if refusal.reason is verdict.Reason.KEY_BARRED:
                network.barred.add(copy.key)


def arrive(network: Network, name: str, key: str, deadline_ms: float) -> int:
    request_id = len(network.copies) + 1
    holder = network.worlds[name].node.ref
    due_ms = network.now_ms[0] + CLOCK_SKEWS_MS[name] + deadline_ms
    network.copies[request_id] = Copy(request_id, holder, key, due_ms)
    feed(network, name, inp.ClaimRequested(request_id, key, None, due_ms))
    return request_id


def confirm(network: Network, request_id: int) -> None:
    """Tell the keys system that a request got its slot."""
    name = network.copies[request_id].holder.entry
    feed(network, name, inp.ConfirmationRequested(request_id))


def dispatch(network: Network, copy: Copy) -> None:
    """Start the work of a confirmed copy, as the requests system does."""
    name = copy.holder.entry
    if network.now_ms[0] + CLOCK_SKEWS_MS[name] >= copy.deadline_ms:
        return
    copy_states = states(network, copy.key)
    assert not copy_states & {'running', 'ran', 'lost'}, 'the work ran twice'
    assert copy.key not in network.barred, 'work ran under a barred key'
    set_state(network, copy.request_id, 'running')


def end_work(network: Network, copy: Copy, outcome: verdict.Outcome) -> None:
    by_verdict = {'ran': 'ran', 'not-run': 'free', 'may-have-run': 'lost'}
    state = by_verdict[verdict.verdict_of(outcome)]
    set_state(network, copy.request_id, state)
    ended = inp.ClaimEnded(copy.request_id, outcome)
    feed(network, copy.holder.entry, ended)


def restart(network: Network, name: str) -> None:
    ref = network.worlds[name].node.ref
    network.worlds[name] = new_world(name, ref.incarnation + 1)
    for copy in list(network.copies.values()):
        if copy.holder == ref and copy.state in ('claim', 'listed', 'held'):
            set_state(network, copy.request_id, 'gone')
        if copy.holder == ref and copy.state == 'running':
            set_state(network, copy.request_id, 'lost')


def live_copies(network: Network, *wanted_states: str) -> list[Copy]:
    """Return the copies in one of these states on a running entry."""
    return [
        x
        for x in network.copies.values()
        if x.state in wanted_states
        and x.holder.entry not in network.paused
        and network.worlds[x.holder.entry].node.ref == x.holder
    ]


def run_operation(network: Network, operation: str, choice: int) -> None:
    """Apply one event or fault; ``choice`` selects what it applies to."""
    name = NAMES[choice % len(NAMES)]
    match operation:
        case 'arrive' if name not in network.paused:
            issued = choose_key(network, choice)
            arrive(network, name, issued, (300.0, 3_000.0)[choice // 4 % 2])
        case 'deliver' | 'duplicate' | 'drop' if network.packets:
            _handle_packet(network, operation, choice)
        case 'dispatch' if copies := live_copies(network, 'listed', 'held'):
            _advance_copy(network, copies[choice % len(copies)])
        case 'end' if copies := live_copies(network, 'running'):
            copy = copies[choice % len(copies)]
            end_work(network, copy, OUTCOMES[choice // 4 % len(OUTCOMES)])
        case 'late' if copies := live_copies(network, 'lost'):
            _report_late_answer(network, copies[choice % len(copies)])
        case 'abandon' if copies := live_copies(
            network, 'claim', 'listed', 'held'
        ):
            end_work(network, copies[choice % len(copies)], verdict.NotSent())
        case _:
            _inject_fault(network, operation, choice)


def _advance_copy(network: Network, copy: Copy) -> None:
    if copy.state == 'listed':
        confirm(network, copy.request_id)
    else:
        dispatch(network, copy)


def _inject_fault(network: Network, operation: str, choice: int) -> None:
    name = NAMES[choice % len(NAMES)]
    match operation:
        case 'advance':
            _advance_clock(network, (1.0, 100.0, 260.0, 1_100.0)[choice % 4])
        case 'age':
            network.now_ms[0] += 300_000.0
        case 'pause':
            network.paused.symmetric_difference_update({name})
        case 'restart':
            restart(network, name)
        case 'lost' if name not in network.paused:
            other_name = NAMES[choice // 4 % len(NAMES)]
            ref = network.worlds[other_name].node.ref
            if other_name != name:
                feed(network, name, inp.MemberLost(ref))


def choose_key(network: Network, choice: int) -> str:
    """Return a recent key, maybe of an old incarnation, or a new one."""
    recent = [x.key for x in list(network.copies.values())[-8:]]
    if recent and choice % 8 < 5:
        return recent[choice % len(recent)]
    home, witness = (network.worlds[x].node.ref.incarnation for x in 'ab')
    nonce = len(network.copies)
    issued_ms = START_MS + (network.now_ms[0] - START_MS) // 300_000 * 300_000
    pair = f'a.{home}.-.0' if nonce % 3 == 0 else f'a.{home}.b.{witness}'
    return f'z1.{pair}.{issued_ms:.0f}.{nonce}'


def _advance_clock(network: Network, elapsed_ms: float) -> None:
    network.now_ms[0] += elapsed_ms
    for name in NAMES:
        if name not in network.paused:
            feed(network, name)


def _handle_packet(network: Network, operation: str, choice: int) -> None:
    index = choice % len(network.packets)
    packet = network.packets[index]
    if operation == 'drop':
        del network.packets[index]
    if operation == 'drop' or packet.to in network.paused:
        return
    if operation == 'deliver':
        del network.packets[index]
    feed(network, packet.to, inp.PeerMessage(packet.sender, packet.message))


def _report_late_answer(network: Network, copy: Copy) -> None:
    set_state(network, copy.request_id, 'ran')
    dispatch_done = inp.DispatchDone(
        copy.request_id, 1, verdict.Answered(201, b'x')
    )
    feed(network, copy.holder.entry, dispatch_done)


OPERATIONS = (
    *['deliver'] * 10,
    *['arrive', 'dispatch', 'end', 'advance'] * 2,
    *['duplicate', 'drop', 'abandon', 'late'],
    *['pause', 'restart', 'lost', 'age'],
)
RARE_OPERATIONS = ('restart', 'age', 'lost')


def run_random(seed: int, steps: int) -> Network:
    """Apply random operations drawn from a seed."""
    generator = random.Random(seed)
    network = new_network()
    for _ in range(steps):
        operation = generator.choice(OPERATIONS)
        if operation in RARE_OPERATIONS and generator.random() < 0.9:
            continue
        run_operation(network, operation, generator.randrange(64))
    return network
