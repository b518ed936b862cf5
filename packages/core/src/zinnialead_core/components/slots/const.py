"""Hold the constants of the slots component."""

ASK_TIMEOUT_MS = 250.0
# A grant outlives the deadline of its request by this much before its
# slot is taken back without a return.
GRANT_MARGIN_MS = 1_000.0
