"""Hold the constants of the upstreams' pools."""

MS_PER_S = 1_000.0
# Larger answers are not kept for replay under a key.
RECORD_MAX_BYTES = 16_384
HEADER_SHED = b'zinnialead-shed'
HEADER_DEADLINE = b'zinnialead-deadline-ms'
