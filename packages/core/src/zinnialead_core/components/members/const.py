"""Hold the constants of the members component."""

PROBE_PERIOD_MS = 500.0
PROBE_TIMEOUT_MS = 250.0
