"""Hold the constants of the upstreams component."""

# Registrations that lapsed in an outage of the store are renewed within
# about two seconds of its return.
LAPSE_HOLD_MS = 2_300.0
# An upstream whose domain comes back from a drain is taken for cold at
# least this long, since it says so only in answers to health checks.
COLD_AFTER_DRAIN_MS = 3_000.0
