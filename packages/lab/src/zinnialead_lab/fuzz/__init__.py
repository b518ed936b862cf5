"""Fuzz a simulated fleet against an oracle of the promises."""

from zinnialead_lab.fuzz.coordinator import main
from zinnialead_lab.fuzz.coordinator import run

__all__ = ['main', 'run']
