"""Test the handover of slots and asks between slot owners."""

from core.components.slots import asking
from core import samples

import zinnialead_core as core
from zinnialead_core.components import members
from zinnialead_core.components import slots
from zinnialead_core.components.slots import const
from zinnialead_core.components.steering import slot_owners
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import verdict

LATER_MS = const.TAKEOVER_PAUSE_MS + 1.0


def owner_and_other(worlds):
    name = slot_owners.slot_owner(worlds['e1'], 'pricebook', samples.DOMAIN)
    [other] = set(worlds) - {name}
    return name, other


def request(number, now_ms):
    return samples.request(number, deadline_ms=now_ms + 20_000.0)


def lose(worlds, now_ms, observer, lost):
    """Let ``observer`` declare another entry dead."""
    world = worlds[observer]
    row = world.members[lost]
    world.members[lost] = row._replace(health=members.Health.DEAD)
    ref = ids.EntryRef(lost, 1)
    return asking.run_until_idle(worlds, now_ms, observer, inp.MemberLost(ref))


def dispatches(outputs):
    return [x for x in outputs if isinstance(x, out.Dispatch)]


def test_a_new_owner_counts_the_slots_in_use_before_it_grants():
    worlds = asking.two_worlds()
    owner, other = owner_and_other(worlds)
    served = [request(n, LATER_MS) for n in range(3)]
    outputs = asking.run_until_idle(worlds, LATER_MS, other, *served)
    assert len(dispatches(outputs)) == 3
    waiting = request(9, LATER_MS)
    assert not asking.run_until_idle(worlds, LATER_MS, other, waiting)
    del worlds[owner]
    assert not lose(worlds, 1_000.0, other, owner)
    world = worlds[other]
    assert world.queues.in_use['pricebook-1'] == 3
    assert not asking.run_until_idle(worlds, 1_000.0 + LATER_MS, other)
    dispatch_done = inp.DispatchDone(0, 1, verdict.Answered(200))
    outputs = asking.run_until_idle(worlds, 1_400.0, other, dispatch_done)
    assert [x.request_id for x in dispatches(outputs)] == [9]


def test_a_stopping_owner_hands_its_queue_over():
    worlds = asking.two_worlds()
    owner, other = owner_and_other(worlds)
    for number in range(4):
        arrival = request(number, LATER_MS)
        asking.run_until_idle(worlds, LATER_MS, other, arrival)
    assert worlds[owner].queues.queued
    asking.run_until_idle(worlds, 1_000.0, owner, inp.StopRequested())
    assert not worlds[owner].queues.queued
    assert len(worlds[other].queues.grants) == 3
    assert len(worlds[other].queues.queued) == 1
    assert not asking.run_until_idle(worlds, 2_000.0, other)


def test_an_ask_is_repeated_if_the_owner_does_not_respond():
    worlds = asking.two_worlds()
    owner, other = owner_and_other(worlds)
    other_only = {other: worlds[other]}
    assert not asking.run_until_idle(
        other_only, LATER_MS, other, request(1, LATER_MS)
    )
    due_ms = LATER_MS + const.ASK_TIMEOUT_MS
    outputs = asking.run_until_idle(worlds, due_ms, other)
    assert [x.request_id for x in dispatches(outputs)] == [1]


def test_two_grants_for_one_attempt_use_one_slot():
    worlds = asking.two_worlds()
    owner, other = owner_and_other(worlds)
    other_only = {other: worlds[other]}
    asking.run_until_idle(other_only, LATER_MS, other, request(1, LATER_MS))
    world = worlds[other]
    [ask_id] = world.asks
    first = slots.SlotAnswer(ask_id, 'pricebook-1')
    sender = ids.EntryRef(owner, 1)
    stranger = ids.EntryRef('e3', 1)
    given = [
        inp.PeerMessage(sender, first),
        inp.PeerMessage(sender, first),
        inp.PeerMessage(stranger, first),
    ]
    outputs = list(core.tick(world, LATER_MS + 1.0, given))
    assert len(dispatches(outputs)) == 1
    slot_return = slots.SlotReturn(ask_id, 'pricebook-1')
    assert outputs.count(out.SendPeer('e3', slot_return)) == 1
    assert out.SendPeer(owner, slot_return) not in outputs


def test_a_late_grant_of_another_domain_is_renewed_there():
    worlds = asking.two_worlds()
    owner, other = owner_and_other(worlds)
    world = worlds[other]
    state = world.states['in-force']
    far_upstream = state.upstreams['pricebook-1']._replace(
        upstream='far', domain='huye-a'
    )
    upstreams = {**state.upstreams, 'far': far_upstream}
    domains = {
        **state.domains,
        'huye-a': state.domains[samples.DOMAIN]._replace(
            domain='huye-a', region='huye'
        ),
    }
    asking.put_in_force(world, 1.0, upstreams=upstreams, domains=domains)
    seen = inp.PeerSeen('far-entry', 'huye-a', 'far-entry')
    other_only = {other: world}
    asking.run_until_idle(other_only, 2.0, other, seen, request(1, LATER_MS))
    [ask_id] = world.asks
    grant = slots.SlotAnswer(ask_id, 'far')
    given = inp.PeerMessage(ids.EntryRef('far-entry', 1), grant)
    list(core.tick(world, 3.0, [given]))
    outputs = list(core.tick(world, 3.0 + const.LEASE_RENEWAL_PERIOD_MS, []))
    renewed = [
        x.entry
        for x in outputs
        if isinstance(x, out.SendPeer)
        and isinstance(x.message, slots.SlotHeldReport)
    ]
    assert renewed == ['far-entry']


def test_a_grant_after_the_end_of_a_request_is_returned():
    worlds = asking.two_worlds()
    owner, other = owner_and_other(worlds)
    other_only = {other: worlds[other]}
    asking.run_until_idle(other_only, LATER_MS, other, request(1, LATER_MS))
    [ask_id] = worlds[other].asks
    asking.run_until_idle(
        other_only, LATER_MS, other, inp.CallerDisconnected(1)
    )
    late = slots.SlotAnswer(ask_id, 'pricebook-1')
    given = inp.PeerMessage(ids.EntryRef(owner, 1), late)
    assert list(core.tick(worlds[other], LATER_MS + 1.0, [given])) == [
        out.SendPeer(owner, slots.SlotReturn(ask_id, 'pricebook-1'))
    ]


def test_an_ask_at_the_wrong_entry_is_forwarded_once():
    worlds = asking.two_worlds()
    owner, other = owner_and_other(worlds)
    message = inp.PeerMessage(asking.ASKER, asking.ask(1))
    asked = asking.tick(worlds[other], LATER_MS, message)
    [sent] = [x for x in asked if x.entry == owner]
    assert sent.message.forwarded
    again = inp.PeerMessage(ids.EntryRef(owner, 1), sent.message)
    assert not asking.tick(worlds[other], LATER_MS, again)
    outputs = core.tick(worlds[other], LATER_MS + const.TAKEOVER_PAUSE_MS, [])
    assert [x.message.upstream for x in outputs if x.entry == 'asker'] == [
        'pricebook-1'
    ]


def test_slots_in_use_are_handed_over_once():
    worlds = asking.two_worlds()
    owner, other = owner_and_other(worlds)
    arrival = request(1, LATER_MS)
    asking.run_until_idle(worlds, LATER_MS, other, arrival)
    stop = inp.StopRequested()
    sent = [*core.tick(worlds[owner], 1_000.0, [stop])]
    sent += core.tick(worlds[owner], 1_000.0, [stop])
    reports = [
        x
        for x in sent
        if isinstance(x, out.SendPeer)
        and isinstance(x.message, slots.SlotHeldReport)
    ]
    assert len(reports) == 1


def test_an_owner_without_a_state_does_not_answer():
    worlds = asking.two_worlds()
    owner, _ = owner_and_other(worlds)
    worlds[owner].states['in-force'] = tickets.empty_state()
    message = inp.PeerMessage(asking.ASKER, asking.ask(1))
    assert not asking.tick(worlds[owner], LATER_MS, message)
    assert worlds[owner].counters['slots.not_ready'] == 1
