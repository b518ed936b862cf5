"""Apportion a cap to the slot owners of a region."""

import collections
import functools
import typing

from zinnialead_core.components import tickets
from zinnialead_core import ids

OwnerKey = tuple[ids.DomainId, ids.ServiceId]
Shares = dict[OwnerKey, int]


class OwnerCapacity(typing.NamedTuple):
    """Hold how many requests per second a domain serves of a service."""

    owner: OwnerKey
    served_per_s: float


def apportion(
    state: tickets.State, region: ids.RegionId, cap_value: int
) -> Shares:
    """Return each owner's whole-unit share of a cap; the sum is the cap.

    Entries with the same state compute the same shares.  They are
    proportional to what each domain can serve of each service, rounded
    by the largest remainder method.
    """
    return _apportion(tuple(_owner_capacities(state, region)), cap_value)


@functools.lru_cache(maxsize=256)
def _apportion(
    capacities: tuple[OwnerCapacity, ...], cap_value: int
) -> Shares:
    total = sum(row.served_per_s for row in capacities)
    if total <= 0.0:
        return {}
    exact = {
        row.owner: cap_value * row.served_per_s / total for row in capacities
    }
    shares = {owner: int(part) for owner, part in exact.items()}
    remainder = cap_value - sum(shares.values())
    by_remainder = sorted(
        exact, key=lambda owner: (shares[owner] - exact[owner], owner)
    )
    for owner in by_remainder[:remainder]:
        shares[owner] += 1
    return shares


def _owner_capacities(
    state: tickets.State, region: ids.RegionId
) -> list[OwnerCapacity]:
    served_per_s: dict[OwnerKey, float] = collections.defaultdict(float)
    for row in state.upstreams.values():
        domain = state.domains.get(row.domain)
        service = state.services.get(row.service)
        if domain is None or service is None or domain.region != region:
            continue
        rate = row.slots * 1000.0 / max(1.0, service.service_time_ms)
        served_per_s[row.domain, row.service] += rate
    return [
        OwnerCapacity(owner, rate)
        for owner, rate in sorted(served_per_s.items())
    ]
