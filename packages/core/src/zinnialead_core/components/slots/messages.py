"""Define the messages between askers and owners of slots."""

import dataclasses

from zinnialead_core import ids
from zinnialead_core import verdict


@dataclasses.dataclass(frozen=True, slots=True)
class SlotAsk:
    """Ask the owner of a service's slots in a domain for one slot."""

    ask_id: ids.AskId
    service: ids.ServiceId
    rank: ids.RankId
    deadline_in_ms: float
    from_domain: ids.DomainId


@dataclasses.dataclass(frozen=True, slots=True)
class SlotAnswer:
    """Grant a slot at ``upstream``, or say why there is none."""

    ask_id: ids.AskId
    upstream: ids.UpstreamId | None
    refusal: verdict.Refusal | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class SlotReturn:
    """Give a slot back, or leave the queue."""

    ask_id: ids.AskId
    upstream: ids.UpstreamId | None
    elapsed_ms: float = 0.0
    failed: bool = False
