"""Define the limits of the HTTP server."""

# hypercorn rejects larger request headers before calling the application.
HEADERS_MAX_BYTES = 32_768
KEEP_ALIVE_S = 30.0
GRACEFUL_TIMEOUT_S = 2.0
REQUESTS_PER_CONNECTION_MAX = 100_000
QUEUED_CHUNKS_MAX = 4
BACKLOG = 1_024
CONNECTIONS_MAX = 4_000
# All heads of a response, those of interim (1xx) responses too.
RESPONSE_HEADS_MAX_BYTES = 32_768
HEAD_READ_BYTES = 4_096
# Every part of a body takes processor time, however small it is. Beyond the
# first ones, parts must have this size on average.
SMALL_PARTS_MAX = 2_048
PART_MIN_BYTES = 64
# Parts that are received before other tasks run.
PARTS_PER_TURN = 32
# Length of the parser's errors in refusals and log lines.
ERROR_TEXT_MAX = 120
