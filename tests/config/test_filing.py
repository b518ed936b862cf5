"""File tickets against a store with races and lost answers."""

from zinnialead_config import filing
from zinnialead_config.tickets import coordinator as tickets
from zinnialead_core.components import store


def ticket(number, operator='asha'):
    text = f'{{"number": {number}, "operator": "{operator}"}}'
    return tickets.parse(text, 't.json').ok


def drive(steps, versions, lost_calls=()):
    """Run a filing against one object; ``lost_calls`` get no answer."""
    call = next(steps)
    count = 0
    try:
        while True:
            count += 1
            result = answer(call, versions)
            if count in lost_calls:
                result = store.Failed(call.name, 'no answer')
            call = steps.send(result)
    except StopIteration as stop:
        return stop.value


def answer(call, versions):
    match call:
        case store.Read(name) if not versions:
            return store.Missing(name)
        case store.Read(name):
            return store.Found(name, versions[-1], len(versions))
        case store.Create(name, value) if not versions:
            versions.append(value)
        case store.Update(name, value, version) if version == len(versions):
            versions.append(value)
        case _:
            return store.Conflict(call.name)
    return store.Found(name, value, len(versions))


def test_a_write_with_a_lost_answer_is_resolved_by_reading():
    versions = []
    steps = filing.file_ticket(ticket(1), 5.0)
    assert drive(steps, versions, lost_calls={2}) == filing.Filed(
        1, again=True
    )
    assert len(versions) == 1


def test_the_loser_of_a_race_learns_who_won():
    versions = []
    loser = filing.file_ticket(ticket(1, 'eric'), 6.0)
    read = next(loser)
    missing = answer(read, versions)
    assert drive(filing.file_ticket(ticket(1), 5.0), versions) == filing.Filed(
        1
    )
    write = loser.send(missing)
    loser.send(answer(write, versions))
    try:
        loser.send(answer(read, versions))
    except StopIteration as stop:
        assert stop.value.winner.operator == 'asha'
    assert len(versions) == 1


def test_a_store_without_answers_leaves_the_outcome_unknown():
    steps = filing.file_ticket(ticket(1), 5.0)
    outcome = drive(steps, [], lost_calls=set(range(20)))
    assert isinstance(outcome, filing.Unknown)


def test_a_gap_in_the_sequence_is_a_problem_of_the_number():
    outcome = drive(filing.file_ticket(ticket(4), 5.0), [])
    assert outcome.problems[0].path == 'number'
