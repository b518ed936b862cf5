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
RESPONSE_BYTES_MAX = 16_777_216
# Round trips between regions take 70 ms. An attempt that loses a packet fails
# instead of waiting for the retransmission.
CONNECT_TIMEOUT_MS = 350.0
# The kernel closes a connection whose data stays unacknowledged this long.
TCP_USER_TIMEOUT_MS = 2_500
KEEPALIVE_IDLE_S = 2
KEEPALIVE_PERIOD_S = 1
KEEPALIVE_PROBES = 2
IDLE_CONNECTIONS_MAX = 64
# Covers the rounding of upstreams' keep-alive timeouts to whole seconds.
KEEP_ALIVE_MARGIN_MS = 1_200.0
