"""Ask slot owners for slots on behalf of this entry's requests."""

from collections import abc

from zinnialead_core.components import requests
from zinnialead_core.components.slots import const
from zinnialead_core.components.slots import messages
from zinnialead_core.components.slots import models
from zinnialead_core.components.slots import ownership
from zinnialead_core.components.steering import slot_owners
from zinnialead_core.components.upstreams import announcements
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
    """Ask this domain's slot owner for a slot for a request's attempt."""
    request = world.requests.rows.get(request_id)
    if request is None or request.attempt != attempt:
        return
    ask_id = ids.AskId(world.node.ref, request_id, attempt)
    yield from _ask_local_owner(world, now_ms, request, ask_id, (), None)


def on_answer(
    world: world_module.World,
    now_ms: float,
    sender: ids.EntryRef,
    message: messages.SlotAnswer,
) -> abc.Iterator[out.Output]:
    """Pass a slot owner's answer to the request, or ask another owner."""
    row = world.asks.get(message.ask_id)
    if message.upstream is not None:
        yield from _on_grant(world, now_ms, sender, message, message.upstream)
        return
    if row is None or row.upstream is not None or message.refusal is None:
        return
    if _may_answer(world, sender, row):
        yield from _on_refusal(world, now_ms, row, message)


def on_waiting(
    world: world_module.World,
    sender: ids.EntryRef,
    message: messages.SlotWaiting,
) -> None:
    """Reset the count of unanswered asks, as the owner has responded."""
    row = world.asks.get(message.ask_id)
    if row is not None and _may_answer(world, sender, row):
        world.asks[row.ask_id] = row._replace(misses=0)


def release(
    world: world_module.World, now_ms: float, released: inp.SlotReleased
) -> abc.Iterator[out.Output]:
    """Return a request's slot, or withdraw its ask from the queue."""
    ask_id = ids.AskId(world.node.ref, released.request_id, released.attempt)
    row = close(world, ask_id)
    if row is None:
        return
    message = messages.SlotReturn(
        ask_id,
        row.upstream,
        released.elapsed_ms,
        _slot_end(released),
        released.answer_bytes,
    )
    owner = ownership.owner_of(world, now_ms, row.service, row.domain)
    # An entry that took over ownership may already count this slot.
    for entry in dict.fromkeys((row.owner, owner or row.owner)):
        yield out.SendPeer(entry, message)


def open_ask(
    world: world_module.World,
    now_ms: float,
    request: requests.RequestRow,
    ask_id: ids.AskId,
    target: slot_owners.Target,
    tried: tuple[ids.DomainId, ...] = (),
    first_refusal: verdict.Refusal | None = None,
) -> abc.Iterator[out.Output]:
    """Open an ask at a target, after the ``tried`` domains refused it."""
    ask_row = models.AskRow(
        ask_id=ask_id,
        service=request.service,
        rank=request.rank,
        owner=target.entry,
        domain=target.domain,
        sent_ms=now_ms,
        upstream=None,
        tried=tried,
        refusal=first_refusal,
    )
    yield from send(world, now_ms, ask_row)


def send(
    world: world_module.World, now_ms: float, row: models.AskRow
) -> abc.Iterator[out.Output]:
    """Send an ask to its owner, initially or as a repeat."""
    request = world.requests.rows.get(row.ask_id.request_id)
    if request is None:
        return
    world.asks[row.ask_id] = row
    timeout_ms = min(
        const.ASK_TIMEOUT_MAX_MS, const.ASK_TIMEOUT_MS * 2**row.backoff_steps
    )
    timer = timers.AskTimeout(row.ask_id)
    timers.start(world.timers, timer, now_ms + timeout_ms)
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


def _on_grant(
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
        slot_return = messages.SlotReturn(ask_id, upstream)
        yield out.SendPeer(sender.entry, slot_return)
        return
    if row.owner != sender.entry:
        yield out.SendPeer(row.owner, messages.SlotReturn(ask_id, None))
    upstream_row = world.states['in-force'].upstreams.get(upstream)
    # A domain asked earlier may grant while the local owner is asked.
    domain = upstream_row.domain if upstream_row else row.domain
    world.asks[ask_id] = row._replace(
        owner=sender.entry, domain=domain, upstream=upstream, misses=0
    )
    due_ms = now_ms + const.LEASE_RENEWAL_PERIOD_MS
    timers.start(world.timers, timers.AskTimeout(ask_id), due_ms)
    yield from announcements.on_granted(
        world, now_ms, upstream, message.polled_ago_ms
    )
    yield out.Notify(inp.SlotHeld(ask_id.request_id, ask_id.attempt, upstream))


def _on_refusal(
    world: world_module.World,
    now_ms: float,
    row: models.AskRow,
    message: messages.SlotAnswer,
) -> abc.Iterator[out.Output]:
    ask_id = row.ask_id
    request = world.requests.rows.get(ask_id.request_id)
    # The first refusal comes from this domain and is the most relevant.
    first_refusal = row.refusal or message.refusal
    if request is not None and row.domain != world.node.domain:
        yield from skip_domain(world, now_ms, row, first_refusal)
        return
    if request is not None and message.redirect is not None:
        row = row._replace(refusal=first_refusal)
        yield from _ask_redirect(world, now_ms, request, row, message.redirect)
        return
    close(world, ask_id)
    if first_refusal is not None:
        yield out.Notify(
            inp.SlotRefused(ask_id.request_id, ask_id.attempt, first_refusal)
        )


def skip_domain(
    world: world_module.World,
    now_ms: float,
    row: models.AskRow,
    first_refusal: verdict.Refusal | None,
) -> abc.Iterator[out.Output]:
    """Ask the local owner again after another domain gave no slot."""
    request = world.requests.rows.get(row.ask_id.request_id)
    if request is None:
        close(world, row.ask_id)
        return
    tried = (*row.tried, row.domain)
    yield from _ask_local_owner(
        world, now_ms, request, row.ask_id, tried, first_refusal
    )


def _ask_redirect(
    world: world_module.World,
    now_ms: float,
    request: requests.RequestRow,
    row: models.AskRow,
    domain: ids.DomainId,
) -> abc.Iterator[out.Output]:
    entry = ownership.owner_of(world, now_ms, row.service, domain)
    if entry is None:
        tried = (*row.tried, domain)
        yield from _ask_local_owner(
            world, now_ms, request, row.ask_id, tried, row.refusal
        )
        return
    target = slot_owners.Target(entry, domain)
    yield from open_ask(
        world, now_ms, request, row.ask_id, target, row.tried, row.refusal
    )


def _ask_local_owner(
    world: world_module.World,
    now_ms: float,
    request: requests.RequestRow,
    ask_id: ids.AskId,
    tried: tuple[ids.DomainId, ...],
    first_refusal: verdict.Refusal | None,
) -> abc.Iterator[out.Output]:
    domain = world.node.domain
    entry = ownership.owner_of(world, now_ms, request.service, domain)
    target = slot_owners.Target(entry or world.node.ref.entry, domain)
    yield from open_ask(
        world, now_ms, request, ask_id, target, tried, first_refusal
    )


def close(
    world: world_module.World, ask_id: ids.AskId
) -> models.AskRow | None:
    """Remove an ask with its timer and return its row."""
    timers.stop(world.timers, timers.AskTimeout(ask_id))
    return world.asks.pop(ask_id, None)


def _may_answer(
    world: world_module.World, sender: ids.EntryRef, row: models.AskRow
) -> bool:
    if sender.entry == row.owner:
        return True
    member = world.members.get(sender.entry)
    return member is not None and member.domain == row.domain


def _slot_end(released: inp.SlotReleased) -> models.SlotEnd:
    match released.outcome:
        case None | verdict.NeverStarted() | verdict.Unsendable():
            return models.SlotEnd.UNUSED
        case verdict.Answered(502 | 503 | 504):
            return models.SlotEnd.FAILED
        case verdict.Answered():
            return models.SlotEnd.SERVED
        case verdict.Shed():
            return models.SlotEnd.SHED
        case verdict.Lost(is_faulty=True):
            return models.SlotEnd.FAULTY
        case verdict.Lost() if released.timed_out:
            return models.SlotEnd.TIMED_OUT
        case verdict.NotSent() | verdict.Lost():
            return models.SlotEnd.FAILED
