"""Run the soak briefly with seeds that failed before."""

from concurrent import futures
import functools
import os
import subprocess
import sys

import pytest

# Long enough for some faults, the recovery time and the last check.
SECONDS = 40
RUNS_AT_A_TIME = 3
SEEDS = (
    # SIGHUP ended a program that had not installed its handler yet.
    1,
    # A request late in a short grace period was aborted while it ran.
    2,
    # A fault of the soak: every upstream of a service had been replaced by
    # one of another service, so that calm requests were rightly refused.
    33,
    # A fault of the soak: a proxy accepted a connection while its entry was
    # down, so that a request that no entry had read counted as lost.
    142,
    # The readers of a region are lost at once, with changes at that moment.
    5,
    # Upstreams that started again under their ids were not treated as cold.
    7,
)
# Five stops in a row, and no other fault at these entries.
ROLLING_RESTART_SEED = 72
# The store comes back from a copy that is 5.7 s old after 0.4 s; an upstream
# that joined in between leaves again.
RESTORED_STORE_SEED = 91


def play(folder, seed):
    command = [sys.executable, '-m', 'soak']
    command += ['--seed', f'{seed}', '--seconds', f'{SECONDS}']
    return subprocess.run(
        [*command, '--folder', str(folder / f'{seed}')],
        check=False,
        env={**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
        timeout=180,
    )


@pytest.fixture(scope='module')
def runs(tmp_path_factory):
    """Run all seeds, a few at a time, each in processes of its own."""
    folder = tmp_path_factory.mktemp('soak')
    seeds = (*SEEDS, ROLLING_RESTART_SEED, RESTORED_STORE_SEED)
    with futures.ThreadPoolExecutor(RUNS_AT_A_TIME) as pool:
        played = pool.map(functools.partial(play, folder), seeds)
        return dict(zip(seeds, played, strict=True))


def check(runs, seed):
    run = runs[seed]
    assert run.returncode == 0, run.stdout
    assert f'seed {seed}' in run.stdout


@pytest.mark.parametrize('seed', SEEDS)
def test_no_guarantee_is_broken(runs, seed):
    check(runs, seed)


def test_a_stopping_entry_breaks_off_no_request_that_it_read(runs):
    check(runs, ROLLING_RESTART_SEED)


def test_a_drain_holds_after_the_store_comes_back_from_a_copy(runs):
    check(runs, RESTORED_STORE_SEED)
