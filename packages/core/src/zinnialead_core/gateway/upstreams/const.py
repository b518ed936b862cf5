"""Hold the constants of the upstreams component."""

# Registrations that expired in an outage of the store are renewed within
# about two seconds after its return.
EXPIRY_DELAY_MS = 2_300.0
# How long the end of an upstream's run is remembered.  The store may come back
# from a copy that is some seconds old.
ENDED_MEMORY_MS = 60_000.0
# A run that has ended leaves a restored store after the time to live of its
# registration; the margin covers the delay of the removal.
DOUBT_MARGIN_MS = 1_000.0
# How long an upstream counts as cold after a drain of its domain if the
# configuration lacks its service.  Only answers to health checks tell that an
# upstream is cold, so it is assumed here.
COLD_AFTER_DRAIN_MS = 3_000.0
