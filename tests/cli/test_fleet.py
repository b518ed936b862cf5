"""Merge and show the views that entries have of the fleet."""

import expression
import typer.testing

from zinnialead_cli import clients
from zinnialead_cli import fleet
from zinnialead_cli import main


def view(entry: str, in_use: int | None, heard_ago_ms: float):
    member = {
        'entry': 'e-1',
        'domain': 'd',
        'address': 'x',
        'health': 'alive',
        'incarnation': 1,
        'state_number': 3,
        'heard_ago_ms': heard_ago_ms,
    }
    upstream = {
        'upstream': 'u-1',
        'service': 's',
        'domain': 'd',
        'slots': 5,
        'in_use': in_use,
        'healthy': None,
        'leaving': False,
        'draining': False,
    }
    shift = {
        'name': 'c',
        'from_region': 'a',
        'to_region': 'b',
        'cap_per_s': 50.0,
        'shifted_per_s': 2.0,
    }
    return {
        'entry': entry,
        'domain': 'd',
        'region': 'r',
        'incarnation': 1,
        'state_number': 3,
        'members': [member],
        'upstreams': [upstream],
        'queues': [{'service': 's', 'rank': 'urgent', 'queued': 1}],
        'drains': [],
        'shifts': [shift],
        'refusals': {'queue-full': 2},
    }


def test_views_of_entries_are_merged():
    merged = fleet.merge([view('e-1', None, 9.0), view('e-2', 4, 5.0)])
    assert merged['members'][0]['heard_ago_ms'] == 5.0
    assert merged['upstreams'][0]['in_use'] == 4
    assert merged['queues'][0]['queued'] == 2
    assert merged['shifts'][0]['shifted_per_s'] == 4.0
    assert merged['refusals'] == {'queue-full': 4}
    titles = [table.title for table in fleet.lay_out(merged)]
    assert titles[0] == 'Entries (ticket 3 in force)'


def test_what_any_entry_leaves_alone_is_shown():
    """The entry that was asked for a pause need not own the slots."""
    told, owner = view('e-1', None, 9.0), view('e-2', 4, 5.0)
    told['upstreams'][0]['paused_for_ms'] = 2_300.0
    merged = fleet.merge([told, owner])
    assert merged['upstreams'][0]['in_use'] == 4
    assert merged['upstreams'][0]['paused_for_ms'] == 2_300.0
    [table] = [x for x in fleet.lay_out(merged) if x.title == 'Upstreams']
    assert list(table.columns[-1].cells) == ['paused, 2.3 s left']
    told['upstreams'][0]['leaving'] = True
    merged = fleet.merge([told, owner])
    [table] = [x for x in fleet.lay_out(merged) if x.title == 'Upstreams']
    assert list(table.columns[-1].cells) == ['leaving']


def test_in_force_is_read_from_entries_without_the_store(monkeypatch):
    calls = []

    def get(entry, path, document_type):
        calls.append((entry.address, entry.token, path))
        return expression.Ok({'number': 7})

    monkeypatch.setattr(clients, 'get', get)
    result = typer.testing.CliRunner().invoke(
        main.app, ['in-force', '--entry', 'a:1', '--token', 't']
    )
    assert '"number": 7' in result.output
    assert calls == [('a:1', 't', '/v1/state')]
