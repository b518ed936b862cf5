"""Ask the owner of a service's slots on behalf of a request."""

from collections import abc

from zinnialead_core.components.slots import messages
from zinnialead_core.components.slots import models
from zinnialead_core.components.steering import targets
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import outputs as out
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
    owner = targets.slot_owner(world, row.service, world.node.domain)
    ask_id = ids.AskId(world.node.ref, request_id, attempt)
    if owner is None:
        refusal = verdict.Refusal(
            verdict.Verdict.NOT_RUN,
            verdict.Reason.NO_UPSTREAM,
            f'no entry is known in domain {world.node.domain!r}',
        )
        yield out.Notify(inp.SlotRefused(request_id, attempt, refusal))
        return
    world.asks[ask_id] = models.AskRow(
        ask_id, row.service, owner, now_ms, None
    )
    message = messages.SlotAsk(
        ask_id,
        row.service,
        row.rank,
        row.deadline_ms - now_ms,
        world.node.domain,
    )
    yield out.SendPeer(owner, message)


def answered(
    world: world_module.World,
    sender: ids.EntryRef,
    message: messages.SlotAnswer,
) -> abc.Iterator[out.Output]:
    """Pass a slot owner's answer on to the request."""
    ask_id = message.ask_id
    row = world.asks.get(ask_id)
    if row is None:
        if message.upstream is not None:
            back = messages.SlotReturn(ask_id, message.upstream)
            yield out.SendPeer(sender.entry, back)
        return
    if message.upstream is not None:
        world.asks[ask_id] = row._replace(upstream=message.upstream)
        yield out.Notify(
            inp.SlotHeld(ask_id.request_id, ask_id.attempt, message.upstream)
        )
        return
    del world.asks[ask_id]
    if message.refusal is not None:
        yield out.Notify(
            inp.SlotRefused(ask_id.request_id, ask_id.attempt, message.refusal)
        )


def give_back(
    world: world_module.World, request_id: ids.RequestId, attempt: int
) -> abc.Iterator[out.Output]:
    """Give back a request's slot, or take its ask out of the queue."""
    ask_id = ids.AskId(world.node.ref, request_id, attempt)
    row = world.asks.pop(ask_id, None)
    if row is None:
        return
    message = messages.SlotReturn(ask_id, row.upstream)
    yield out.SendPeer(row.owner, message)
