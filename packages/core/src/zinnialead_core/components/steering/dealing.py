"""Deal out a cap over the slot owners of a region."""

import collections
import functools
import typing

from zinnialead_core.components import tickets
from zinnialead_core import ids

Holder = tuple[ids.DomainId, ids.ServiceId]
Parts = dict[Holder, int]


class Weighed(typing.NamedTuple):
    """Hold what a domain can serve of a service, in work a second."""

    holder: Holder
    served_per_s: float


def deal(state: tickets.State, region: ids.RegionId, whole: int) -> Parts:
    """Return each owner's whole part of a cap; the sum is the cap.

    Every entry with the same state deals the same.  Parts follow what
    each domain can serve of each service, by the largest remainder.
    """
    return _deal(tuple(_weighed(state, region)), whole)


@functools.lru_cache(maxsize=256)
def _deal(weighed: tuple[Weighed, ...], whole: int) -> Parts:
    total = sum(row.served_per_s for row in weighed)
    if total <= 0.0:
        return {}
    exact = {row.holder: whole * row.served_per_s / total for row in weighed}
    parts = {holder: int(part) for holder, part in exact.items()}
    rest = whole - sum(parts.values())
    by_remainder = sorted(
        exact, key=lambda holder: (parts[holder] - exact[holder], holder)
    )
    for holder in by_remainder[:rest]:
        parts[holder] += 1
    return parts


def _weighed(state: tickets.State, region: ids.RegionId) -> list[Weighed]:
    served: dict[Holder, float] = collections.defaultdict(float)
    for row in state.upstreams.values():
        domain = state.domains.get(row.domain)
        service = state.services.get(row.service)
        if domain is None or service is None or domain.region != region:
            continue
        rate = row.slots * 1000.0 / max(1.0, service.service_time_ms)
        served[row.domain, row.service] += rate
    return [Weighed(holder, rate) for holder, rate in sorted(served.items())]
