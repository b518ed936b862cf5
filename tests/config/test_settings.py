"""Load settings from a file, environment variables and flags."""

import pathlib

from zinnialead_config.settings import coordinator as settings

EXAMPLE = pathlib.Path(__file__).parents[2] / 'examples/umusozi/entry.json'


def test_flags_override_environment_and_file():
    environment = {'ZINNIALEAD_ENTRY': 'e-1', 'ZINNIALEAD_DOMAIN': 'd-1'}
    loaded = settings.load(EXAMPLE, environment, {'entry': 'e-2'}).ok
    assert (loaded.entry, loaded.domain) == ('e-2', 'd-1')
    assert loaded.region == 'kigali'
    assert loaded.peer_keys[0].key_id == 1


def test_problems_name_the_field():
    text = EXAMPLE.read_text().replace('"region"', '"regoin"')
    paths = {item.path for item in settings.parse(text, 'x', {}).error}
    assert paths == {'region', 'regoin'}
    text = EXAMPLE.read_text().replace('replace-this-peers-secret', 'short')
    [problem] = settings.parse(text, 'x', {}).error
    assert problem.path == 'peer_keys.0.secret'
