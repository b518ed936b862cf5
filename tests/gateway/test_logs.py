"""Test the lines that a process logs."""

import collections
import json
import os
import time

from zinnialead_core.gateway import outputs as out
from zinnialead_gateway.logs import coordinator as logs


def new_logs():
    return logs.set_up('edge-1', collections.Counter())


def lines_of(entry_logs):
    return [json.loads(line) for line in entry_logs.lines]


def test_a_line_names_its_type_entry_time_and_fields():
    entry_logs = new_logs()
    inputs = {'upstream': 'i-1', 'load': 0.5}
    logs.decision(entry_logs, out.LogDecision(7, 'r-1', 'sent', inputs))
    logs.life_cycle(entry_logs, 'started', incarnation=3)
    decision, started = lines_of(entry_logs)
    assert decision.pop('timestamp') <= time.time()
    assert decision == {
        'message_type': 'decision',
        'entry': 'edge-1',
        'request': 'r-1',
        'decision': 'sent',
        **inputs,
    }
    assert (started['event'], started['incarnation']) == ('started', 3)


def test_a_field_of_any_type_is_logged():
    entry_logs = new_logs()
    logs.life_cycle(entry_logs, 'odd', error=ValueError('why'), dump={1: {2}})
    (line,) = lines_of(entry_logs)
    assert line['error'] == 'why'


def test_lines_beyond_the_queue_are_counted_and_dropped():
    entry_logs = new_logs()
    for _ in range(logs.QUEUED_LINES_MAX + 3):
        logs.life_cycle(entry_logs, 'again')
    assert len(entry_logs.lines) == logs.QUEUED_LINES_MAX
    assert entry_logs.counters['logs.dropped'] == 3


def test_what_standard_output_does_not_take_is_written_later(monkeypatch):
    entry_logs = new_logs()
    taken = []

    def write(_, data):
        taken.append(data[:10])
        return len(data[:10])

    monkeypatch.setattr(os, 'write', write)
    logs.life_cycle(entry_logs, 'started')
    whole = entry_logs.lines[0]
    while entry_logs.lines or entry_logs.unwritten:
        logs.flush(entry_logs)
    assert b''.join(taken) == whole
