"""Join what several entries say of the fleet into one view."""

import collections
from collections import abc
import operator

from zinnialead_cli.fleet import documents

Fleet = documents.FleetDocument
Refusals = dict[str, int]


def merge(seen: abc.Sequence[Fleet]) -> Fleet:
    """Return one view: the newest of members, sums over slot owners."""
    first = seen[0]
    return Fleet(
        entry=', '.join(item['entry'] for item in seen),
        domain=first['domain'],
        region=first['region'],
        incarnation=first['incarnation'],
        state_number=max(item['state_number'] for item in seen),
        members=_members(seen),
        upstreams=_upstreams(seen),
        queues=_queues(seen),
        drains=_drains(seen),
        shifts=_shifts(seen),
        refusals=_refusals(seen),
    )


def _members(seen: abc.Sequence[Fleet]) -> list[documents.MemberDocument]:
    newest: dict[str, documents.MemberDocument] = {}
    for item in seen:
        for row in item['members']:
            known = newest.get(row['entry'])
            if known is None or row['heard_ago_ms'] < known['heard_ago_ms']:
                newest[row['entry']] = row
    return sorted(
        newest.values(), key=lambda row: (row['domain'], row['entry'])
    )


def _upstreams(
    seen: abc.Sequence[Fleet],
) -> list[documents.UpstreamDocument]:
    merged: dict[str, documents.UpstreamDocument] = {}
    for item in seen:
        for row in item['upstreams']:
            known = merged.get(row['upstream'])
            if known is None or (row['in_use'] or 0) > (known['in_use'] or 0):
                merged[row['upstream']] = row
    return sorted(
        merged.values(),
        key=lambda row: (row['service'], row['domain'], row['upstream']),
    )


def _queues(seen: abc.Sequence[Fleet]) -> list[documents.QueueDocument]:
    waiting: collections.Counter[tuple[str, str]] = collections.Counter()
    for item in seen:
        for row in item['queues']:
            waiting[row['service'], row['rank']] += row['queued']
    return [
        documents.QueueDocument(service=service, rank=rank, queued=queued)
        for (service, rank), queued in sorted(waiting.items())
    ]


def _drains(seen: abc.Sequence[Fleet]) -> list[documents.DrainDocument]:
    merged: dict[str, documents.DrainDocument] = {}
    for item in seen:
        for row in item['drains']:
            known = merged.setdefault(row['name'], {**row, 'in_flight': 0})
            known['in_flight'] += row['in_flight']
    return sorted(merged.values(), key=operator.itemgetter('name'))


def _shifts(seen: abc.Sequence[Fleet]) -> list[documents.ShiftDocument]:
    merged: dict[str, documents.ShiftDocument] = {}
    for item in seen:
        for row in item['shifts']:
            known = merged.setdefault(
                row['name'], {**row, 'shifted_per_s': 0.0}
            )
            known['shifted_per_s'] += row['shifted_per_s']
    return sorted(merged.values(), key=operator.itemgetter('name'))


def _refusals(seen: abc.Sequence[Fleet]) -> Refusals:
    total: collections.Counter[str] = collections.Counter()
    for item in seen:
        total.update(item['refusals'])
    return dict(sorted(total.items()))
