"""File tickets against a store that races and loses answers."""

from zinnialead_config import filing
from zinnialead_config.tickets import coordinator as tickets
from zinnialead_core.components import store


def ticket(number, operator='asha'):
    text = f'{{"number": {number}, "operator": "{operator}"}}'
    return tickets.parse(text, 't.json').ok


def drive(steps, held, lose=()):
    """Run a filing against one held object; ``lose`` loses answers."""
    call = next(steps)
    count = 0
    try:
        while True:
            count += 1
            result = answer(call, held)
            if count in lose:
                result = store.Failed(call.name, 'no answer')
            call = steps.send(result)
    except StopIteration as stop:
        return stop.value


def answer(call, held):
    match call:
        case store.Read(name) if not held:
            return store.Missing(name)
        case store.Read(name):
            return store.Found(name, held[-1], len(held))
        case store.Create(name, value) if not held:
            held.append(value)
        case store.Update(name, value, version) if version == len(held):
            held.append(value)
        case _:
            return store.Conflict(call.name)
    return store.Found(name, value, len(held))


def test_a_lost_answer_after_the_write_is_read_back():
    held = []
    steps = filing.file_ticket(ticket(1), 5.0)
    assert drive(steps, held, lose={2}) == filing.Filed(1, again=True)
    assert len(held) == 1


def test_the_loser_of_a_race_is_told_who_won():
    held = []
    loser = filing.file_ticket(ticket(1, 'eric'), 6.0)
    read = next(loser)
    missing = answer(read, held)
    assert drive(filing.file_ticket(ticket(1), 5.0), held) == filing.Filed(1)
    write = loser.send(missing)
    loser.send(answer(write, held))
    try:
        loser.send(answer(read, held))
    except StopIteration as stop:
        assert stop.value.winner.operator == 'asha'
    assert len(held) == 1


def test_a_store_without_answers_leaves_it_unknown():
    steps = filing.file_ticket(ticket(1), 5.0)
    outcome = drive(steps, [], lose=set(range(20)))
    assert isinstance(outcome, filing.Unknown)


def test_a_gap_in_the_sequence_is_refused_with_the_field():
    outcome = drive(filing.file_ticket(ticket(4), 5.0), [])
    assert outcome.problems[0].path == 'number'
