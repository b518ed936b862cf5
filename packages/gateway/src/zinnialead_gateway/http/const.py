"""Define the limits and timeouts of HTTP connections."""

PORT_MAX = 65_535
READ_BYTES = 65_536
# Bytes buffered of the requests that a caller pipelines.
BUFFERED_BYTES_MAX = 65_536
# Length of the accept queue: the connections of a one-second burst.
BACKLOG = 512
ACCEPT_PAUSE_S = 0.05
# A response that the caller does not read within this time is abandoned.
WRITE_TIMEOUT_S = 30.0
CLOSE_LINGER_S = 0.5
# Bytes received for one request, with heads and framing.
RESPONSE_BYTES_MAX = 16_777_216
# A body this long whose memory is revoked counts as endless.
LONG_BODY_BYTES = 1_048_576
# Interim (1xx) responses ahead of a response.
INTERIM_RESPONSES_MAX = 16
# Every part of a body takes processor time, however small it is. Beyond the
# first ones, parts must have this size on average.
SMALL_PARTS_MAX = 2_048
PART_BYTES_MIN = 64
# Events of a long message that are parsed before other tasks run, and the
# bytes that take as long as an event.
EVENTS_PER_TURN = 32
BYTES_PER_EVENT = 2_048
# Round trips between regions take 70 ms. An attempt that loses a packet fails
# instead of waiting for the retransmission.
CONNECT_TIMEOUT_MS = 350.0
# The kernel closes a connection whose data stays unacknowledged this long.
TCP_USER_TIMEOUT_MS = 2_500
KEEPALIVE_IDLE_S = 2
KEEPALIVE_PERIOD_S = 1
KEEPALIVE_PROBES = 2
IDLE_CONNECTIONS_MAX = 64
# An upstream that announces no keep-alive timeout keeps a connection open for
# at least this long.
UNANNOUNCED_IDLE_MIN_MS = 1_000.0
# Bytes that arrive on an idle connection take memory until it is closed.
IDLE_CHECK_PERIOD_S = 0.5
# A connection is closed after this many refusals, whose ids it remembers.
REFUSED_IDS_MAX = 32
# Covers the rounding of upstreams' keep-alive timeouts to whole seconds.
KEEP_ALIVE_MARGIN_MS = 1_200.0
# Keep-alive timeouts with more digits are ignored.
KEEP_ALIVE_DIGITS_MAX = 9
# Length of the parser's errors in log lines and refusals.
ERROR_TEXT_MAX = 120
