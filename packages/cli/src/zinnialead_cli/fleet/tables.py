"""Render the fleet as tables for a terminal."""

from collections import abc

import rich.table

from zinnialead_cli import const
from zinnialead_cli.fleet import documents

Fleet = documents.FleetDocument
Row = tuple[object, ...]


def lay_out(fleet: Fleet) -> abc.Iterator[rich.table.Table]:
    """Yield the tables that show a fleet."""
    yield _entries(fleet)
    yield _upstreams(fleet)
    yield _queues(fleet)
    yield _drains(fleet)
    yield _shifts(fleet)
    yield _table('Refusals', ('reason', 'count'), fleet['refusals'].items())


def _entries(fleet: Fleet) -> rich.table.Table:
    rows = (
        (
            row['domain'],
            row['entry'],
            row['health'],
            row['state_number'],
            round(row['heard_ago_ms']),
        )
        for row in fleet['members']
    )
    title = f'Entries (ticket {fleet["state_number"]} in force)'
    headings = ('domain', 'entry', 'health', 'ticket', 'heard ms ago')
    return _table(title, headings, rows)


def _upstreams(fleet: Fleet) -> rich.table.Table:
    rows = (
        (
            row['service'],
            row['domain'],
            row['upstream'],
            row['slots'],
            '-' if row['in_use'] is None else row['in_use'],
            _upstream_state(row),
        )
        for row in fleet['upstreams']
    )
    headings = ('service', 'domain', 'upstream', 'slots', 'in use', 'state')
    return _table('Upstreams', headings, rows)


def _queues(fleet: Fleet) -> rich.table.Table:
    rows = (
        (row['service'], row['rank'], row['queued']) for row in fleet['queues']
    )
    return _table('Queues', ('service', 'rank', 'waiting'), rows)


def _drains(fleet: Fleet) -> rich.table.Table:
    rows = (
        (row['name'], row['kind'], row['target'], row['in_flight'])
        for row in fleet['drains']
    )
    return _table('Drains', ('drain', 'kind', 'target', 'in flight'), rows)


def _shifts(fleet: Fleet) -> rich.table.Table:
    rows = (
        (
            row['name'],
            row['from_region'],
            row['to_region'],
            round(row['shifted_per_s'], 1),
            row['cap_per_s'],
        )
        for row in fleet['shifts']
    )
    headings = ('cap', 'from', 'to', 'shifted/s', 'cap/s')
    return _table('Shifts', headings, rows)


def _upstream_state(row: documents.UpstreamDocument) -> str:
    if row['draining']:
        return 'draining'
    if row['leaving']:
        return 'leaving'
    paused_for_ms = row.get('paused_for_ms')
    if paused_for_ms is not None:
        return f'paused, {paused_for_ms / const.MS_PER_S:.1f} s left'
    if row['healthy'] is None:
        return 'not heard of'
    return 'healthy' if row['healthy'] else 'left out'


def _table(
    title: str, headings: abc.Sequence[str], rows: abc.Iterable[Row]
) -> rich.table.Table:
    table = rich.table.Table(title=title, title_justify='left')
    for heading in headings:
        table.add_column(heading)
    for row in rows:
        table.add_row(*map(str, row))
    return table
