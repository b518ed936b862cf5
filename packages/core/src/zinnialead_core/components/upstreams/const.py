"""Hold the constants of the upstreams component."""

# Attempts in a row that fail before an upstream is left out.
FAILURES_MAX = 5
LEFT_OUT_MS = 2_000.0
