"""Test properties of a slot owner under any sequence of events."""

import collections

from core.components.slots import asking
from core import samples
import hypothesis
from hypothesis import strategies as st

import zinnialead_core as core
from zinnialead_core.components import slots
from zinnialead_core.components import tickets
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict

SLOTS = 2
UPSTREAMS = ('pricebook-1', 'pricebook-2')
numbers = st.integers(0, 25)
asks = st.builds(
    asking.ask,
    numbers,
    st.sampled_from(('urgent', 'normal', 'night')),
    st.sampled_from((5.0, 60.0, 400.0, 30_000.0)),
    st.sampled_from((samples.DOMAIN, 'huye-a')),
)
returns = st.builds(
    asking.give_back,
    numbers,
    st.sampled_from(slots.SlotEnd),
    st.floats(0.0, 500.0),
)
reports = st.builds(
    inp.UpstreamReport,
    st.sampled_from(UPSTREAMS),
    st.booleans(),
    st.one_of(st.none(), st.integers(0, 9)),
    st.booleans(),
)
drains = st.lists(
    st.sampled_from(UPSTREAMS).map(tickets.UpstreamDrain), max_size=1
)
acts = st.lists(
    st.tuples(st.floats(0.0, 300.0), asks | returns | reports | drains),
    max_size=60,
)
settings = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=80
)


def act(world, now_ms, event):
    """Apply one generated event and return the owner's answers."""
    match event:
        case slots.SlotAsk() | slots.SlotReturn():
            given = inp.PeerMessage(asking.ASKER, event)
        case inp.UpstreamReport():
            given = event
        case list():
            drains = {str(n): drain for n, drain in enumerate(event)}
            return asking.put_in_force(world, now_ms, drains=drains)
    outputs = core.tick(world, now_ms, [given])
    return [x.message for x in outputs if isinstance(x, out.SendPeer)]


def check_counts(world):
    granted = collections.Counter(
        grant.upstream for grant in world.queues.grants.values()
    )
    for upstream in UPSTREAMS:
        assert world.queues.in_use.get(upstream, 0) == granted[upstream]
        assert granted[upstream] <= SLOTS
    waiting = [
        ask_id
        for service_queues in world.queues.rank_queues.values()
        for rank_queue in service_queues.values()
        for ask_id in rank_queue
    ]
    assert sorted(waiting) == sorted(world.queues.queued)
    assert not world.queues.queued.keys() & world.queues.grants.keys()


@settings
@hypothesis.given(acts)
def test_slots_are_never_over_granted_and_every_ask_ends_once(found):
    world = asking.world_with(slots=SLOTS, upstreams=2, queue_max=6)
    now_ms = 1.0
    asked, ended = set(), collections.Counter()
    for pause_ms, item in found:
        now_ms += pause_ms
        if isinstance(item, slots.SlotAsk):
            if item.ask_id in asked:
                continue
            asked.add(item.ask_id)
        answers = act(world, now_ms, item)
        if isinstance(item, slots.SlotReturn) and item.ask_id in asked:
            ended[item.ask_id] += item.ask_id not in ended
        check_counts(world)
        for answer in answers:
            assert isinstance(answer, slots.SlotAnswer)
            assert (answer.upstream is None) != (answer.refusal is None)
            ended[answer.ask_id] += 1
            if answer.refusal is not None:
                known = answer.refusal.verdict
                assert known is verdict.Verdict.NOT_RUN
    for ask_id in asked:
        waits = ask_id in world.queues.queued
        assert waits or ended[ask_id] >= 1
        assert not (waits and ended[ask_id])
    assert max(ended.values(), default=0) <= 1 or any(
        isinstance(item, slots.SlotReturn) for _, item in found
    )
    later_ms = now_ms + 40_000.0
    while (due_ms := core.next_due_ms(world)) and due_ms <= later_ms:
        list(core.tick(world, due_ms, []))
    check_counts(world)
    assert not world.queues.queued


@settings
@hypothesis.given(
    st.lists(st.sampled_from(('urgent', 'normal', 'night')), max_size=60)
)
def test_more_urgent_work_goes_first_without_floors(ranks):
    flat = {
        name: row._replace(floor_share=0.0)
        for name, row in samples.state().ranks.items()
    }
    world = asking.world_with(slots=1, ranks=flat)
    asking.tell(world, 1.0, asking.ask(1_000))
    waiting = [
        asking.ask(number, rank, left_ms=1e9)
        for number, rank in enumerate(ranks)
    ]
    asking.tell(world, 1.0, *waiting)
    last, order = 1_000, []
    for _ in ranks:
        answers = asking.tell(world, 2.0, asking.give_back(last))
        [last] = asking.granted(answers)
        order.append((flat[ranks[last]].order, last))
    assert order == sorted(order)


@settings
@hypothesis.given(
    st.lists(st.floats(0.0, 0.3), min_size=2, max_size=2),
    st.integers(20, 120),
)
def test_each_waiting_rank_keeps_its_floor_over_any_run(floors, count):
    base = samples.state().ranks
    ranks = {
        'urgent': base['urgent'],
        'normal': base['normal']._replace(floor_share=floors[0]),
        'night': base['night']._replace(floor_share=floors[1]),
    }
    world = asking.world_with(slots=1, queue_max=1_000, ranks=ranks)
    asking.tell(world, 1.0, asking.ask(1_000))
    names = ('urgent', 'normal', 'night')
    waiting = [
        asking.ask(number, names[number % 3], left_ms=1e9)
        for number in range(3 * count)
    ]
    asking.tell(world, 1.0, *waiting)
    last, kept = 1_000, collections.Counter()
    for _ in range(count):
        answers = asking.tell(world, 2.0, asking.give_back(last))
        [last] = asking.granted(answers)
        kept[names[last % 3]] += 1
    assert kept['normal'] >= floors[0] * count - 1.0
    assert kept['night'] >= floors[1] * count - 1.0
