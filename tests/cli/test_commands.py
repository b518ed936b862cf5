"""Run the operators' commands against an in-memory store."""

import pathlib

import pytest
import typer.testing

from config import test_filing
from zinnialead_cli import clients
from zinnialead_cli import const
from zinnialead_cli import main
from zinnialead_core.components import store

EXAMPLES = pathlib.Path(__file__).parents[2] / 'examples' / 'umusozi'
FIRST = str(EXAMPLES / '0001-deployment.json')
SECOND = str(EXAMPLES / '0002-drain-upstream.json')


@pytest.fixture
def stored_versions(monkeypatch):
    state_versions = []
    monkeypatch.setattr(
        clients,
        'call_store',
        lambda _, call: test_filing.answer(call, state_versions),
    )
    monkeypatch.setenv(const.STORE_VARIABLE, '127.0.0.1:1')
    return state_versions


def run(*arguments):
    return typer.testing.CliRunner().invoke(main.app, arguments)


def test_a_ticket_is_planned_filed_and_read_back(stored_versions):
    assert run('file', FIRST).output == 'ticket 1 is in force\n'
    planned = run('plan', SECOND)
    assert '+ drains.pricebook-1' in planned.output
    assert 'slots would be left in service' in planned.output
    assert run('file', SECOND).exit_code == const.ExitCode.DONE
    assert run('file', SECOND).output == 'ticket 2 was filed before\n'
    assert run('diff', str(EXAMPLES)).exit_code == const.ExitCode.DONE
    assert '"number": 2' in run('state').output


def test_a_directory_that_differs_exits_with_status_one(stored_versions):
    run('file', FIRST)
    result = run('diff', str(EXAMPLES))
    assert result.exit_code == const.ExitCode.DIFFERENT
    assert 'in force: ticket 1' in result.output


def test_the_problems_of_a_ticket_name_file_and_field(
    stored_versions, tmp_path
):
    path = tmp_path / 'bad.json'
    path.write_text('{"number": 1, "operator": "x", "ranks": {"r": 1}}')
    result = run('file', str(path))
    assert result.exit_code == const.ExitCode.REFUSED
    assert f'{path}: ranks.r' in result.output
    assert stored_versions == []


def test_a_store_without_answers_is_not_a_success(monkeypatch):
    monkeypatch.setattr(
        clients, 'call_store', lambda _, call: store.Failed(call.name, 'x')
    )
    result = run('file', FIRST, '--store', '127.0.0.1:1')
    assert result.exit_code == const.ExitCode.UNKNOWN
    assert 'may be in force' in result.output
