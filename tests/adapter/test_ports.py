"""Test that processes that run tests at a time use different ports."""

import subprocess
import sys

from adapter import deployments

PROGRAM = """
from adapter import deployments

print(deployments.reserve_ports().first)
"""


def test_two_processes_reserve_different_ports():
    own = deployments.reserve_ports().first
    command = [sys.executable, '-c', PROGRAM]
    environment = {'PYTHONPATH': ':'.join(sys.path)}
    other = subprocess.run(
        command, env=environment, check=True, stdout=subprocess.PIPE, text=True
    )
    assert int(other.stdout) != own
    ports = deployments.free_ports(48)
    assert own <= ports[0] <= ports[-1] < own + deployments.PORTS_PER_PROCESS
