"""Define the limits of the HTTP server."""

# hypercorn rejects larger request headers before calling the application.
HEADERS_MAX_BYTES = 32_768
KEEP_ALIVE_S = 30.0
GRACEFUL_TIMEOUT_S = 2.0
REQUESTS_PER_CONNECTION_MAX = 100_000
QUEUED_CHUNKS_MAX = 4
BACKLOG = 1_024
CONNECTIONS_MAX = 4_000
