"""Hold the constants of the HTTP parts."""

READ_BYTES = 65_536
# Bytes a caller may send ahead of the request that is being answered.
AHEAD_BYTES_MAX = 65_536
# Connections that wait to be accepted; a burst of one second.
BACKLOG = 512
ACCEPT_PAUSE_S = 0.05
# A caller that takes nothing for this long is let go.
WRITE_TIMEOUT_S = 30.0
CLOSE_LINGER_S = 0.5
ANSWER_BYTES_MAX = 16_777_216
# Round trips between regions take 70 ms; one lost packet is not waited for.
CONNECT_TIMEOUT_MS = 350.0
# Bytes that nobody acknowledges end a connection after this time.
USER_TIMEOUT_MS = 2_500
KEEPALIVE_IDLE_S = 2
KEEPALIVE_PERIOD_S = 1
KEEPALIVE_PROBES = 2
IDLE_CONNECTIONS_MAX = 64
# An upstream says in whole seconds how long it keeps idle connections.
KEEP_ALIVE_MARGIN_MS = 1_200.0
