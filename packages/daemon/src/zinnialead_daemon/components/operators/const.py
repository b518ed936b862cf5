"""Hold the constants of the operators' port."""

DUMP_PATH = '/v1/dump'
FLEET_PATH = '/v1/fleet'
STATE_PATH = '/v1/state'
STOP_PATH = '/v1/stop'
HEADER_AUTHORIZATION = b'authorization'
SCHEME = b'Bearer '
REFUSED_PREFIX = 'requests.refused.'
