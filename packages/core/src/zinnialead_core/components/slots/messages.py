"""Define the messages between askers and owners of slots."""

import dataclasses

from zinnialead_core.components.slots import models
from zinnialead_core import ids
from zinnialead_core import verdict

HERE = ids.RegionId('')


@dataclasses.dataclass(frozen=True, slots=True)
class SlotAsk:
    """Ask the owner of a service's slots in a domain for one slot.

    ``avoid`` names the upstream of the attempt before; ``forwarded`` says
    that an entry that owns the slots no more sent the ask on; ``tried``
    are the domains that refused it already.  ``home_region`` is where the
    work comes from, for caps on shifts; empty for the owner's own region.
    ``homeless`` says that the asker's domain has no upstream for it, so
    that the ask may wait here as if it were the domain's own.
    """

    ask_id: ids.AskId
    service: ids.ServiceId
    rank: ids.RankId
    deadline_in_ms: float
    from_domain: ids.DomainId
    avoid: ids.UpstreamId | None = None
    forwarded: bool = False
    tried: tuple[ids.DomainId, ...] = ()
    home_region: ids.RegionId = HERE
    body_bytes: int = 0
    homeless: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SlotAnswer:
    """Grant a slot at ``upstream``, or say why there is none.

    ``redirect`` names a domain that is worth an ask.
    """

    ask_id: ids.AskId
    upstream: ids.UpstreamId | None
    refusal: verdict.Refusal | None = None
    redirect: ids.DomainId | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SlotWaiting:
    """Say that an ask, sent again, still waits in the queue."""

    ask_id: ids.AskId


@dataclasses.dataclass(frozen=True, slots=True)
class SlotHeldReport:
    """Tell a slot owner that a slot is in use, and renew its lease."""

    ask_id: ids.AskId
    service: ids.ServiceId
    rank: ids.RankId
    upstream: ids.UpstreamId
    from_domain: ids.DomainId


@dataclasses.dataclass(frozen=True, slots=True)
class SlotReturn:
    """Give a slot back, or leave the queue."""

    ask_id: ids.AskId
    upstream: ids.UpstreamId | None
    elapsed_ms: float = 0.0
    end: models.SlotEnd = models.SlotEnd.UNUSED
    answer_bytes: int = 0
