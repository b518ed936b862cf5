"""Build the refusals of slot owners."""

from zinnialead_core.components.slots import const
from zinnialead_core.components.slots import models
from zinnialead_core import ids
from zinnialead_core import verdict
from zinnialead_core import world as world_module


def no_headroom(
    world: world_module.World, row: models.QueuedRow
) -> verdict.Refusal:
    """Return the refusal of an ask that finds no idle slot here."""
    return verdict.Refusal(
        verdict.Verdict.NOT_RUN,
        verdict.Reason.NO_HEADROOM,
        f'domain {world.node.domain!r} has no idle slot for service'
        f' {row.service!r}',
    )


def no_upstream(
    world: world_module.World, service: ids.ServiceId
) -> verdict.Refusal:
    """Return the refusal where no upstream here accepts work."""
    return verdict.Refusal(
        verdict.Verdict.NOT_RUN,
        verdict.Reason.NO_UPSTREAM,
        f'domain {world.node.domain!r} has no upstream of service'
        f' {service!r} that takes work',
    )


def queue_full(
    world: world_module.World, row: models.QueuedRow
) -> verdict.Refusal:
    """Return the refusal of an ask dropped from a full queue."""
    return verdict.Refusal(
        verdict.Verdict.NOT_RUN,
        verdict.Reason.QUEUE_FULL,
        f'the queue of service {row.service!r} in domain'
        f' {world.node.domain!r} is full',
        retry_after_ms=const.QUEUE_FULL_RETRY_MS,
    )
