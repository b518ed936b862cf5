"""Preview the changes of a ticket and warn of their effects."""

from collections import abc
import typing

from zinnialead_core.components import tickets

SECTIONS = (
    'services',
    'upstreams',
    'domains',
    'ranks',
    'drains',
    'caps',
    'blocks',
)


class Change(typing.NamedTuple):
    """Hold one item before and after; None where it does not exist."""

    path: str
    before: str | None
    after: str | None


class PlanWarning(typing.NamedTuple):
    """Describe an effect that operators need to know of before filing."""

    path: str
    reason: str


def changes(
    before: tickets.State, after: tickets.State
) -> abc.Iterator[Change]:
    """Yield every item that differs between two states."""
    for section in SECTIONS:
        old = getattr(before, section)
        new = getattr(after, section)
        for name in sorted({*old, *new}):
            if old.get(name) != new.get(name):
                yield Change(
                    f'{section}.{name}',
                    _as_text(old.get(name)),
                    _as_text(new.get(name)),
                )


def warnings(
    before: tickets.State, after: tickets.State
) -> abc.Iterator[PlanWarning]:
    """Yield warnings about lost capacity and newly drained regions."""
    yield from _services_without_upstreams(after)
    yield from _drained_region_warnings(before, after)
    yield from _lost_capacity(before, after)


def slots_in_service(state: tickets.State, service: str) -> int:
    """Return the number of slots of a service on undrained upstreams."""
    return sum(
        row.slots
        for row in state.upstreams.values()
        if row.service == service and not tickets.is_drained(state, row)
    )


def _as_text(value: object) -> str | None:
    return None if value is None else str(value)


def _services_without_upstreams(
    after: tickets.State,
) -> abc.Iterator[PlanWarning]:
    for name in after.services:
        if slots_in_service(after, name) == 0:
            reason = 'no upstream would be left in service'
            yield PlanWarning(f'services.{name}', reason)


def _drained_region_warnings(
    before: tickets.State, after: tickets.State
) -> abc.Iterator[PlanWarning]:
    for name, drain in after.drains.items():
        if name in before.drains:
            continue
        match drain:
            case tickets.RegionDrain(region):
                yield from _shift_cap_warning(after, name, region)


def _shift_cap_warning(
    after: tickets.State, name: str, region: str
) -> abc.Iterator[PlanWarning]:
    cap_per_s = sum(
        cap.requests_per_s
        for cap in after.caps.values()
        if isinstance(cap, tickets.ShiftCap) and cap.from_region == region
    )
    reason = f'caps let {cap_per_s:g} requests/s leave region {region!r}'
    yield PlanWarning(f'drains.{name}', reason)


def _lost_capacity(
    before: tickets.State, after: tickets.State
) -> abc.Iterator[PlanWarning]:
    for name in after.services:
        initial = (
            slots_in_service(before, name) if name in before.services else 0
        )
        remaining = slots_in_service(after, name)
        if 0 < remaining < initial:
            reason = f'{remaining} of {initial} slots would be left in service'
            yield PlanWarning(f'services.{name}', reason)
