"""Hold the constants of the store stand-in."""

OBJECTS_PREFIX = '/apis/zinnialead/v1/objects/'
VMS_PATH = '/apis/zinnialead/v1/vms'
VALUE_MAX_BYTES = 1_048_576
WATCH_DEFAULT_S = 30.0
MS_PER_S = 1_000.0
