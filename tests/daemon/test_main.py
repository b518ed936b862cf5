"""Start the daemon's binary with settings, right and wrong."""

import collections
import json

from typer import testing

from daemon import entries
from zinnialead_daemon import const
from zinnialead_daemon import main

RUNNER = testing.CliRunner()


def settings_file(tmp_path, **changed):
    fields = entries.SETTINGS._asdict() | changed
    for name in ('bounds', 'statsd', 'tls'):
        fields.pop(name)
    fields['peer_keys'] = [{'key_id': 1, 'secret': 'a-secret-of-the-peers'}]
    path = tmp_path / 'entry.json'
    path.write_text('// an entry\n' + json.dumps(fields))
    return str(path)


def test_check_accepts_settings_without_serving(tmp_path):
    path = settings_file(tmp_path)
    done = RUNNER.invoke(main.app, ['run', '--settings', path, '--check'])
    assert (done.exit_code, 'entry-1' in done.output) == (0, True)


def test_flags_go_before_the_environment(tmp_path):
    path = settings_file(tmp_path)
    args = ['run', '--settings', path, '--check']
    environment = {'ZINNIALEAD_ENTRY': 'entry-8'}
    done = RUNNER.invoke(main.app, args, env=environment)
    assert 'entry-8' in done.output
    done = RUNNER.invoke(
        main.app, [*args, '--entry', 'entry-9'], env=environment
    )
    assert 'entry-9' in done.output


def test_wrong_settings_name_the_field_and_never_the_token(tmp_path):
    path = settings_file(tmp_path, callers_bind='nowhere', surplus=1)
    done = RUNNER.invoke(main.app, ['run', '--settings', path])
    assert done.exit_code == const.EXIT_SETTINGS
    assert 'callers_bind' in done.output
    assert 'surplus' in done.output
    assert entries.TOKEN not in done.output


def test_the_version_is_printed():
    done = RUNNER.invoke(main.app, ['--version'])
    assert collections.Counter(done.output)['.'] == 2
