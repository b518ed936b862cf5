"""Test that only the tests that KNOWN-RED.txt names may fail."""

import pathlib
import shutil
import subprocess
import sys

import pytest

CONFTEST = pathlib.Path(__file__).with_name('conftest.py')
SAMPLE = """
import pytest

def test_red():
    assert False

@pytest.mark.parametrize('word', ['one two', 'three'])
def test_half_red(word):
    assert word == 'three'
"""
RED = 'may fail: tests/test_sample.py::test_red'
HALF_RED = 'may fail: tests/test_sample.py::test_half_red[one two]'


@pytest.mark.parametrize(
    ('known_red', 'exit_code'),
    [
        (f'1. Two faults.\n   {RED}\n   {HALF_RED}\n', 0),
        (f'1. One of two faults.\n   {RED}\n', 1),
        (f'{RED}\n{HALF_RED}\n{RED}_renamed\n', 4),
        (f'{RED}\n{HALF_RED}\nmay fail: tests/test_gone.py::test_red\n', 4),
        ('1. A fault that only mentions tests/test_sample.py::test_red.', 1),
    ],
)
def test_only_listed_tests_may_fail(tmp_path, known_red, exit_code):
    tests = tmp_path / 'tests'
    tests.mkdir()
    shutil.copy(CONFTEST, tests / 'conftest.py')
    (tests / 'test_sample.py').write_text(SAMPLE)
    (tmp_path / 'KNOWN-RED.txt').write_text(known_red)
    result = subprocess.run(
        [sys.executable, '-m', 'pytest', '-rxX', '--rootdir=.', 'tests'],
        check=False,
        cwd=tmp_path,
        capture_output=True,
        text=True,
    )
    assert result.returncode == exit_code, result.stdout
    if exit_code == 0:
        assert '2 xfailed' in result.stdout
