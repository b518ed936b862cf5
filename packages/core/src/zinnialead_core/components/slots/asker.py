"""Ask the owners of a service's slots on behalf of a request."""

from collections import abc

from zinnialead_core.components import requests
from zinnialead_core.components.slots import const
from zinnialead_core.components.slots import messages
from zinnialead_core.components.slots import models
from zinnialead_core.components.slots import ownership
from zinnialead_core.components.steering import slot_owners
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
from zinnialead_core import timers
from zinnialead_core import verdict
from zinnialead_core import world as world_module


def ask(
    world: world_module.World,
    now_ms: float,
    request_id: ids.RequestId,
    attempt: int,
) -> abc.Iterator[out.Output]:
    """Send a request's ask to the slot owner that steering names."""
    row = world.requests.rows.get(request_id)
    if row is None or row.attempt != attempt:
        return
    ask_id = ids.AskId(world.node.ref, request_id, attempt)
    yield from _ask_home(world, now_ms, row, ask_id, (), None)


def answered(
    world: world_module.World,
    now_ms: float,
    sender: ids.EntryRef,
    message: messages.SlotAnswer,
) -> abc.Iterator[out.Output]:
    """Pass a slot owner's answer on to the request, or ask elsewhere."""
    row = world.asks.get(message.ask_id)
    if message.upstream is not None:
        yield from _granted(world, now_ms, sender, message, message.upstream)
        return
    if row is None or row.upstream is not None or message.refusal is None:
        return
    if _speaks_for(world, sender, row):
        yield from _refused(world, now_ms, row, message)


def waiting(
    world: world_module.World,
    sender: ids.EntryRef,
    message: messages.SlotWaiting,
) -> None:
    """Note that the owner of an open ask is alive."""
    row = world.asks.get(message.ask_id)
    if row is not None and _speaks_for(world, sender, row):
        world.asks[row.ask_id] = row._replace(misses=0)


def give_back(
    world: world_module.World, now_ms: float, item: inp.SlotReleased
) -> abc.Iterator[out.Output]:
    """Give back a request's slot, or take its ask out of the queue."""
    ask_id = ids.AskId(world.node.ref, item.request_id, item.attempt)
    row = close(world, ask_id)
    if row is None:
        return
    message = messages.SlotReturn(
        ask_id,
        row.upstream,
        item.elapsed_ms,
        _end_of(item),
        item.answer_bytes,
    )
    owner = ownership.owner_of(world, now_ms, row.service, row.domain)
    # An owner that took over may have counted the slot already.
    for entry in dict.fromkeys((row.owner, owner or row.owner)):
        yield out.SendPeer(entry, message)


def ask_at(
    world: world_module.World,
    now_ms: float,
    request: requests.RequestRow,
    ask_id: ids.AskId,
    target: slot_owners.Target,
    tried: tuple[ids.DomainId, ...] = (),
    first: verdict.Refusal | None = None,
) -> abc.Iterator[out.Output]:
    """Open an ask at a target, after ``tried`` domains refused it."""
    opened = models.AskRow(
        ask_id=ask_id,
        service=request.service,
        rank=request.rank,
        owner=target.entry,
        domain=target.domain,
        sent_ms=now_ms,
        upstream=None,
        tried=tried,
        refusal=first,
    )
    yield from send(world, now_ms, opened)


def send(
    world: world_module.World, now_ms: float, row: models.AskRow
) -> abc.Iterator[out.Output]:
    """Send an ask to its owner, for the first time or again."""
    request = world.requests.rows.get(row.ask_id.request_id)
    if request is None:
        return
    world.asks[row.ask_id] = row
    pause_ms = min(
        const.ASK_TIMEOUT_MAX_MS, const.ASK_TIMEOUT_MS * 2**row.rounds
    )
    timer = timers.AskTimeout(row.ask_id)
    timers.start(world.timers, timer, now_ms + pause_ms)
    message = messages.SlotAsk(
        row.ask_id,
        row.service,
        row.rank,
        request.deadline_ms - now_ms,
        world.node.domain,
        request.upstream,
        tried=row.tried,
        home_region=request.home_region,
        body_bytes=request.body_bytes,
        homeless=_is_homeless(world, row),
    )
    yield out.SendPeer(row.owner, message)


def _is_homeless(world: world_module.World, row: models.AskRow) -> bool:
    if row.domain == world.node.domain or row.refusal is None:
        return False
    return row.refusal.reason is verdict.Reason.NO_UPSTREAM


def _granted(
    world: world_module.World,
    now_ms: float,
    sender: ids.EntryRef,
    message: messages.SlotAnswer,
    upstream: ids.UpstreamId,
) -> abc.Iterator[out.Output]:
    ask_id = message.ask_id
    row = world.asks.get(ask_id)
    if row and (row.owner, row.upstream) == (sender.entry, upstream):
        return
    if row is None or row.upstream is not None:
        world.counters['slots.grant_unused'] += 1
        back = messages.SlotReturn(ask_id, upstream)
        yield out.SendPeer(sender.entry, back)
        return
    if row.owner != sender.entry:
        yield out.SendPeer(row.owner, messages.SlotReturn(ask_id, None))
    known = world.states['in-force'].upstreams.get(upstream)
    # A grant of another domain, asked before, may come while home is asked.
    domain = known.domain if known else row.domain
    world.asks[ask_id] = row._replace(
        owner=sender.entry, domain=domain, upstream=upstream, misses=0
    )
    due_ms = now_ms + const.HELD_PERIOD_MS
    timers.start(world.timers, timers.AskTimeout(ask_id), due_ms)
    yield out.Notify(inp.SlotHeld(ask_id.request_id, ask_id.attempt, upstream))


def _refused(
    world: world_module.World,
    now_ms: float,
    row: models.AskRow,
    message: messages.SlotAnswer,
) -> abc.Iterator[out.Output]:
    ask_id = row.ask_id
    request = world.requests.rows.get(ask_id.request_id)
    # The first domain asked is the caller's own: its refusal says most.
    first = row.refusal or message.refusal
    if request is not None and row.domain != world.node.domain:
        yield from pass_over(world, now_ms, row, first)
        return
    if request is not None and message.redirect is not None:
        row = row._replace(refusal=first)
        yield from _ask_elsewhere(
            world, now_ms, request, row, message.redirect
        )
        return
    close(world, ask_id)
    if first is not None:
        yield out.Notify(
            inp.SlotRefused(ask_id.request_id, ask_id.attempt, first)
        )


def pass_over(
    world: world_module.World,
    now_ms: float,
    row: models.AskRow,
    first: verdict.Refusal | None,
) -> abc.Iterator[out.Output]:
    """Ask at home again, after another domain gave no slot."""
    request = world.requests.rows.get(row.ask_id.request_id)
    if request is None:
        close(world, row.ask_id)
        return
    tried = (*row.tried, row.domain)
    yield from _ask_home(world, now_ms, request, row.ask_id, tried, first)


def _ask_elsewhere(
    world: world_module.World,
    now_ms: float,
    request: requests.RequestRow,
    row: models.AskRow,
    domain: ids.DomainId,
) -> abc.Iterator[out.Output]:
    entry = ownership.owner_of(world, now_ms, row.service, domain)
    if entry is None:
        tried = (*row.tried, domain)
        yield from _ask_home(
            world, now_ms, request, row.ask_id, tried, row.refusal
        )
        return
    target = slot_owners.Target(entry, domain)
    yield from ask_at(
        world, now_ms, request, row.ask_id, target, row.tried, row.refusal
    )


def _ask_home(
    world: world_module.World,
    now_ms: float,
    request: requests.RequestRow,
    ask_id: ids.AskId,
    tried: tuple[ids.DomainId, ...],
    first: verdict.Refusal | None,
) -> abc.Iterator[out.Output]:
    domain = world.node.domain
    entry = ownership.owner_of(world, now_ms, request.service, domain)
    target = slot_owners.Target(entry or world.node.ref.entry, domain)
    yield from ask_at(world, now_ms, request, ask_id, target, tried, first)


def close(
    world: world_module.World, ask_id: ids.AskId
) -> models.AskRow | None:
    """Forget an ask, and return what was known of it."""
    timers.stop(world.timers, timers.AskTimeout(ask_id))
    return world.asks.pop(ask_id, None)


def _speaks_for(
    world: world_module.World, sender: ids.EntryRef, row: models.AskRow
) -> bool:
    if sender.entry == row.owner:
        return True
    member = world.members.get(sender.entry)
    return member is not None and member.domain == row.domain


def _end_of(item: inp.SlotReleased) -> models.SlotEnd:
    match item.outcome:
        case None | verdict.NeverStarted():
            return models.SlotEnd.UNUSED
        case verdict.Answered(502 | 503 | 504):
            return models.SlotEnd.FAILED
        case verdict.Answered():
            return models.SlotEnd.SERVED
        case verdict.Shed():
            return models.SlotEnd.SHED
        case verdict.Lost() if item.timed_out:
            return models.SlotEnd.TIMED_OUT
        case verdict.NotSent() | verdict.Lost():
            return models.SlotEnd.FAILED
