"""Define the constants of the store stand-in."""

OBJECTS_PREFIX = '/objects/'
VALUE_MAX_BYTES = 1_048_576
PAGE_ITEMS_MAX = 500
WATCH_MAX_MS = 30_000
FIRST_REVISION = 1
FIRST_ERA = 1
MS_PER_S = 1_000.0
