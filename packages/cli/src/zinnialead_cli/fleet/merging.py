"""Merge the views that several entries have of the fleet."""

import collections
from collections import abc
import operator

from zinnialead_cli.fleet import documents

Fleet = documents.FleetDocument
Refusals = dict[str, int]


def merge(views: abc.Sequence[Fleet]) -> Fleet:
    """Return one view from those of several entries.

    It has the highest ticket number, the latest row of each member, the row
    with the most slots in use of each upstream, which leaves or pauses if it
    does for any entry, and sums of the queues, the drains' requests in
    flight, the shifts and the refusals.
    """
    first = views[0]
    return Fleet(
        entry=', '.join(view['entry'] for view in views),
        domain=first['domain'],
        region=first['region'],
        incarnation=first['incarnation'],
        state_number=max(view['state_number'] for view in views),
        members=_members(views),
        upstreams=_upstreams(views),
        queues=_queues(views),
        drains=_drains(views),
        shifts=_shifts(views),
        refusals=_refusals(views),
    )


def _members(views: abc.Sequence[Fleet]) -> list[documents.MemberDocument]:
    newest: dict[str, documents.MemberDocument] = {}
    for view in views:
        for row in view['members']:
            current = newest.get(row['entry'])
            if (
                current is None
                or row['heard_ago_ms'] < current['heard_ago_ms']
            ):
                newest[row['entry']] = row
    return sorted(
        newest.values(), key=lambda row: (row['domain'], row['entry'])
    )


def _upstreams(
    views: abc.Sequence[Fleet],
) -> list[documents.UpstreamDocument]:
    merged: dict[str, documents.UpstreamDocument] = {}
    for view in views:
        for row in view['upstreams']:
            current = merged.get(row['upstream'], row)
            most_used = max(current, row, key=lambda x: x['in_use'] or 0)
            merged[row['upstream']] = {
                **most_used,
                'leaving': current['leaving'] or row['leaving'],
                'paused_for_ms': max(
                    current.get('paused_for_ms') or 0.0,
                    row.get('paused_for_ms') or 0.0,
                )
                or None,
            }
    return sorted(
        merged.values(),
        key=lambda row: (row['service'], row['domain'], row['upstream']),
    )


def _queues(views: abc.Sequence[Fleet]) -> list[documents.QueueDocument]:
    queued_counts: collections.Counter[tuple[str, str]] = collections.Counter()
    for view in views:
        for row in view['queues']:
            queued_counts[row['service'], row['rank']] += row['queued']
    return [
        documents.QueueDocument(service=service, rank=rank, queued=queued)
        for (service, rank), queued in sorted(queued_counts.items())
    ]


def _drains(views: abc.Sequence[Fleet]) -> list[documents.DrainDocument]:
    merged: dict[str, documents.DrainDocument] = {}
    for view in views:
        for row in view['drains']:
            current = merged.setdefault(row['name'], {**row, 'in_flight': 0})
            current['in_flight'] += row['in_flight']
    return sorted(merged.values(), key=operator.itemgetter('name'))


def _shifts(views: abc.Sequence[Fleet]) -> list[documents.ShiftDocument]:
    merged: dict[str, documents.ShiftDocument] = {}
    for view in views:
        for row in view['shifts']:
            current = merged.setdefault(
                row['name'], {**row, 'shifted_per_s': 0.0}
            )
            current['shifted_per_s'] += row['shifted_per_s']
    return sorted(merged.values(), key=operator.itemgetter('name'))


def _refusals(views: abc.Sequence[Fleet]) -> Refusals:
    totals: collections.Counter[str] = collections.Counter()
    for view in views:
        totals.update(view['refusals'])
    return dict(sorted(totals.items()))
