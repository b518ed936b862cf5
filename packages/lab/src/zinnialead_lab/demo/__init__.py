"""Run one deployment on loopback in one process, and check it."""

from zinnialead_lab.demo.coordinator import main

__all__ = ['main']
