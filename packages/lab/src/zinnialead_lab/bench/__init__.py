"""Compare the policy with the plain way under load and faults."""

from zinnialead_lab.bench.command import main
from zinnialead_lab.bench.coordinator import run
from zinnialead_lab.bench.models import Row

__all__ = ['Row', 'main', 'run']
