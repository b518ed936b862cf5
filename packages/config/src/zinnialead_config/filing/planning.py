"""Say what a ticket would change, and warn of what it would break."""

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
    """Show one item before and after; None where it does not exist."""

    path: str
    before: str | None
    after: str | None


class Warned(typing.NamedTuple):
    """Warn of what a ticket would do to the service."""

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
                    _shown(old.get(name)),
                    _shown(new.get(name)),
                )


def warnings(
    before: tickets.State, after: tickets.State
) -> abc.Iterator[Warned]:
    """Yield what operators should know before they file."""
    yield from _services_without_upstreams(after)
    yield from _regions_drained(before, after)
    yield from _capacity_lost(before, after)


def slots_in_service(state: tickets.State, service: str) -> int:
    """Return the slots of a service that no drain takes away."""
    return sum(
        row.slots
        for row in state.upstreams.values()
        if row.service == service and not tickets.is_drained(state, row)
    )


def _shown(item: object) -> str | None:
    return None if item is None else str(item)


def _services_without_upstreams(
    after: tickets.State,
) -> abc.Iterator[Warned]:
    for name in after.services:
        if slots_in_service(after, name) == 0:
            reason = 'no upstream would be left in service'
            yield Warned(f'services.{name}', reason)


def _regions_drained(
    before: tickets.State, after: tickets.State
) -> abc.Iterator[Warned]:
    for name, drain in after.drains.items():
        if name in before.drains:
            continue
        match drain:
            case tickets.RegionDrain(region):
                yield from _shift_room(after, name, region)


def _shift_room(
    after: tickets.State, name: str, region: str
) -> abc.Iterator[Warned]:
    room = sum(
        cap.requests_per_s
        for cap in after.caps.values()
        if isinstance(cap, tickets.ShiftCap) and cap.from_region == region
    )
    reason = f'caps let {room:g} requests/s leave region {region!r}'
    yield Warned(f'drains.{name}', reason)


def _capacity_lost(
    before: tickets.State, after: tickets.State
) -> abc.Iterator[Warned]:
    for name in after.services:
        had = slots_in_service(before, name) if name in before.services else 0
        left = slots_in_service(after, name)
        if 0 < left < had:
            reason = f'{left} of {had} slots would be left in service'
            yield Warned(f'services.{name}', reason)
