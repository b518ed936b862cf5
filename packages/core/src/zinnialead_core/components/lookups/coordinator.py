"""Answer look-ups from the tables; a look-up writes to none."""

from zinnialead_core.components import keys
from zinnialead_core.components.lookups import const
from zinnialead_core.components.lookups import models
from zinnialead_core.components import members
from zinnialead_core import ids
from zinnialead_core import world as world_module


def look_up(
    world: world_module.World, now_ms: float, question: models.LookUp
) -> models.LookUpAnswer:
    """Return the entries to use, those of the caller's domain first.

    Reads ``members`` and ``states``.
    """
    domain = question.domain or world.node.domain
    domains = world.states['in-force'].domains
    home = domains.get(domain)
    region = home.region if home else world.node.region

    def distance(row: members.MemberRow) -> tuple[bool, bool, ids.EntryId]:
        known = domains.get(row.domain)
        far = known is None or known.region != region
        return (row.domain != domain, far, row.entry)

    alive = [
        row
        for row in world.members.values()
        if row.health is members.Health.ALIVE and _reachable(world, row)
    ]
    nearest = sorted(alive, key=distance)[: const.CHOICES_MAX]
    choices = tuple(
        models.Choice(
            row.entry, row.domain, row.callers_address or row.address
        )
        for row in nearest
    )
    prefix = keys.prefix(world.node.ref, _witness(world, nearest), now_ms)
    return models.LookUpAnswer(choices, const.LIFETIME_MS, prefix)


def _reachable(world: world_module.World, row: members.MemberRow) -> bool:
    # An entry that is only listed has not said where it serves callers.
    return bool(row.callers_address) or not world.node.callers_address


def _witness(
    world: world_module.World, nearest: list[members.MemberRow]
) -> ids.EntryRef | None:
    # The witness outlives the home best in another failure domain.
    others = [
        row
        for row in nearest
        if row.entry != world.node.ref.entry and row.incarnation > 0
    ]
    others.sort(key=lambda row: row.domain == world.node.domain)
    if not others:
        return None
    return ids.EntryRef(others[0].entry, others[0].incarnation)
