"""Compare the policy with a simple baseline under load and faults."""

from zinnialead_lab.bench.command import main
from zinnialead_lab.bench.coordinator import run
from zinnialead_lab.bench.models import ComparisonRow

__all__ = ['ComparisonRow', 'main', 'run']
