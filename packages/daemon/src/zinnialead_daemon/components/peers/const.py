"""Define the constants of the peer protocol."""

# Version of the framing; additions to the schema don't change it.
FRAME_VERSION = 1
LENGTH_BYTES = 4
MAC_BYTES = 16
FRAME_MAX_BYTES = 262_144
KEY_BYTES = 32

# Frames sent longer ago are dropped; allows for clocks 2 s apart.
FRAME_AGE_MAX_MS = 10_000.0
REPLAY_WINDOW_FRAMES = 1024
SENDERS_MAX = 4096

MS_PER_S = 1_000.0
CONNECT_TIMEOUT_S = 1.0
BACKOFF_MIN_S = 0.1
BACKOFF_MAX_S = 5.0
# An acceptor confirms received data this often; a link whose data stays
# unconfirmed for longer than the maximum is closed.
CONFIRM_PERIOD_S = 0.25
UNCONFIRMED_MAX_S = 1.5
LINK_IDLE_TIMEOUT_S = 30.0
ACCEPTED_IDLE_TIMEOUT_S = 90.0
# Messages queued for longer are dropped: the remaining times that they hold
# would be wrong.
OUTBOX_AGE_MAX_MS = 1_000.0
OUTBOX_MAX = 1_024
BATCH_MAX = 64
LINKS_MAX = 2_048
ACCEPTED_MAX = 2_048
# Limits for connections that have not sent a correctly signed frame yet.
UNAUTHENTICATED_MAX = 256
AUTHENTICATION_TIMEOUT_S = 5.0
UNAUTHENTICATED_FRAME_MAX_BYTES = 32_768
BAD_FRAMES_MAX = 16
READ_BYTES = 65_536
FLUSH_TIMEOUT_S = 0.5
