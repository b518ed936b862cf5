"""Play short seeded runs, also of the seeds that failed once."""

import os
import subprocess
import sys

# Long enough for some faults, the time to recover and the last check.
SECONDS = 40
SEEDS = (
    # A program ended by SIGHUP, as it had no handler yet.
    1,
    # A request late in a short grace was cut at work.
    2,
    # The soak's own fault: each upstream of a service had been replaced by
    # one of another service, so that calm requests were refused in truth.
    33,
    # The soak's own fault: a proxy took a connection while its entry was
    # down, so that a request which nobody had read counted as lost.
    142,
)


def start(seed, folder):
    command = [sys.executable, '-m', 'soak']
    command += ['--seed', f'{seed}', '--seconds', f'{SECONDS}']
    return subprocess.Popen(
        [*command, '--folder', str(folder / f'{seed}')],
        env={**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)},
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def test_no_promise_is_broken(tmp_path):
    """Play the seeds at once, each in processes of its own."""
    runs = {seed: start(seed, tmp_path) for seed in SEEDS}
    told = {seed: run.communicate(timeout=180) for seed, run in runs.items()}
    for seed, run in runs.items():
        assert run.returncode == 0, told[seed][0]
        assert f'seed {seed}' in told[seed][0]
