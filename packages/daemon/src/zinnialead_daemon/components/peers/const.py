"""Hold the constants of the peers' protocol."""

# The version of the framing; the schema grows without a new version.
FRAME_VERSION = 1
LENGTH_BYTES = 4
MAC_BYTES = 16
FRAME_MAX_BYTES = 1_048_576
KEY_BYTES = 32

# Frames sent longer ago are dropped; covers clocks 2 s apart.
FRAME_AGE_MAX_MS = 10_000.0
REPLAY_WINDOW_FRAMES = 1024
SENDERS_MAX = 4096

CONNECT_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 2.0
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 5.0
# An idle link sends a keepalive, and one that was not heard from for
# longer than the silence is closed by its acceptor.
KEEPALIVE_S = 5.0
SILENCE_MAX_S = 15.0
OUTBOX_MAX_FRAMES = 1024
OUTBOX_MAX_BYTES = 4_194_304
LINKS_MAX = 2048
ACCEPTED_MAX = 2048
READ_BYTES = 65_536
