"""Shift the wall clock of a program that the soak starts."""

import os
import time

_OFFSET_NS = int(os.environ.get('SOAK_CLOCK_OFFSET_MS', '0')) * 1_000_000
_time_ns = time.time_ns


def _shifted_ns():
    return _time_ns() + _OFFSET_NS


time.time_ns = _shifted_ns
time.time = lambda: _shifted_ns() / 1e9
