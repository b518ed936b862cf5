"""Hold the bounds of the HTTP server."""

# The server library refuses a larger head before the application sees it.
HEADERS_MAX_BYTES = 32_768
KEEP_ALIVE_S = 30.0
GRACEFUL_TIMEOUT_S = 2.0
REQUESTS_PER_CONNECTION_MAX = 100_000
QUEUED_CHUNKS_MAX = 4
BACKLOG = 1_024
CONNECTIONS_MAX = 4_000
