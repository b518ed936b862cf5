"""Define the messages between askers and slot owners."""

import dataclasses

from zinnialead_core.components.slots import models
from zinnialead_core import ids
from zinnialead_core import verdict

OWN_REGION = ids.RegionId('')


@dataclasses.dataclass(frozen=True, slots=True)
class SlotAsk:
    """Ask the owner of a service's slots in a domain for one slot.

    ``avoid`` is the upstream of the previous attempt.  ``forwarded`` is
    set if an entry that does not own the slots, or no longer does, sent
    the ask on.  ``tried`` are the domains that refused it.
    ``home_region`` is where the work originates, for shift caps; empty
    for the owner's region.  ``homeless`` is set if the asker's domain has
    no upstream: the ask may then be queued like one of this domain.
    """

    ask_id: ids.AskId
    service: ids.ServiceId
    rank: ids.RankId
    deadline_in_ms: float
    from_domain: ids.DomainId
    avoid: ids.UpstreamId | None = None
    forwarded: bool = False
    tried: tuple[ids.DomainId, ...] = ()
    home_region: ids.RegionId = OWN_REGION
    body_bytes: int = 0
    homeless: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class SlotAnswer:
    """Grant a slot at ``upstream``, or refuse the ask.

    ``redirect`` names another domain to ask.  ``polled_ago_ms`` is how long
    ago the owner began the last poll that showed a run of the upstream in
    service, None without one.
    """

    ask_id: ids.AskId
    upstream: ids.UpstreamId | None
    refusal: verdict.Refusal | None = None
    redirect: ids.DomainId | None = None
    polled_ago_ms: int | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SlotWaiting:
    """Confirm that a repeated ask is still queued."""

    ask_id: ids.AskId


@dataclasses.dataclass(frozen=True, slots=True)
class SlotHeldReport:
    """Report a slot in use to its owner and renew the lease."""

    ask_id: ids.AskId
    service: ids.ServiceId
    rank: ids.RankId
    upstream: ids.UpstreamId
    from_domain: ids.DomainId


@dataclasses.dataclass(frozen=True, slots=True)
class SlotReturn:
    """Return a slot, or withdraw an ask from the queue."""

    ask_id: ids.AskId
    upstream: ids.UpstreamId | None
    elapsed_ms: float = 0.0
    end: models.SlotEnd = models.SlotEnd.UNUSED
    answer_bytes: int = 0
