"""Test that only the adapter contains the platform's names."""

import pathlib

import zinnialead_core
import zinnialead_gateway

NAMES = (
    'Zinnialead-',
    'ZINNIALEAD_BOOT',
    'weighted_backends',
    'cold_left',
    'is_deleting',
    'path_prefix',
    'session_affinity',
    'evacuations',
)


def test_the_gateway_contains_no_name_of_the_platform():
    gateway = pathlib.Path(zinnialead_gateway.__file__).parent
    core = pathlib.Path(zinnialead_core.__file__).parent / 'gateway'
    matches = [
        (path.name, name)
        for root in (gateway, core)
        for path in root.rglob('*.py')
        for name in NAMES
        if name.lower() in path.read_text().lower()
    ]
    assert not matches
