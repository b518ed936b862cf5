"""Compare the policy with the plain way under load and faults."""

from zinnialead_lab.bench.command import main
from zinnialead_lab.bench.coordinator import run
from zinnialead_lab.bench.models import ComparisonRow

__all__ = ['ComparisonRow', 'main', 'run']
