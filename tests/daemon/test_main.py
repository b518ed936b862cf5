"""Run the daemon's command with valid and invalid settings."""

import collections
import json

from typer import testing

from daemon import entries
from zinnialead_daemon import const
from zinnialead_daemon import main

RUNNER = testing.CliRunner()


def settings_file(tmp_path, **overrides):
    fields = entries.SETTINGS._asdict() | overrides
    for name in ('bounds', 'statsd', 'tls'):
        fields.pop(name)
    fields['peer_keys'] = [{'key_id': 1, 'secret': 'a-secret-of-the-peers'}]
    path = tmp_path / 'entry.json'
    path.write_text('// an entry\n' + json.dumps(fields))
    return str(path)


def test_check_accepts_settings_without_serving(tmp_path):
    path = settings_file(tmp_path)
    result = RUNNER.invoke(main.app, ['run', '--settings', path, '--check'])
    assert (result.exit_code, 'entry-1' in result.output) == (0, True)


def test_flags_override_the_environment(tmp_path):
    path = settings_file(tmp_path)
    args = ['run', '--settings', path, '--check']
    environment = {'ZINNIALEAD_ENTRY': 'entry-8'}
    result = RUNNER.invoke(main.app, args, env=environment)
    assert 'entry-8' in result.output
    result = RUNNER.invoke(
        main.app, [*args, '--entry', 'entry-9'], env=environment
    )
    assert 'entry-9' in result.output


def test_errors_in_settings_name_the_field_but_not_the_token(tmp_path):
    path = settings_file(tmp_path, callers_bind='nowhere', surplus=1)
    result = RUNNER.invoke(main.app, ['run', '--settings', path])
    assert result.exit_code == const.EXIT_SETTINGS
    assert 'callers_bind' in result.output
    assert 'surplus' in result.output
    assert entries.TOKEN not in result.output


def test_the_version_is_printed():
    result = RUNNER.invoke(main.app, ['--version'])
    assert collections.Counter(result.output)['.'] == 2
