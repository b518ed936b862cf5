"""Define the constants of the process."""

MS_PER_S = 1_000.0
# A stopping entry accepts requests for this share of the grace period, until
# callers have other addresses. The rest covers the last responses.
STOP_SERVE_SHARE = 0.75
# The core has answered all requests earlier.  The rest of the grace period is
# reserved for the shutdown itself.
STOP_END_SHARE = 0.96
# For writing what the core answers only then.
STOP_WRITE_SHARE = 0.02
SETTINGS_PERIOD_S = 5.0
# File descriptors for the platform's files and connections to upstreams.
RESERVED_DESCRIPTORS = 400
