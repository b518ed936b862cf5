"""Measure what each role costs, extrapolated to the design size."""

from zinnialead_lab.capacity.command import main

__all__ = ['main']
