"""Measure what each role costs at the size to design for."""

from zinnialead_lab.capacity.command import main

__all__ = ['main']
