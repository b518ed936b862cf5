"""Define the constants of the operators' port."""

DUMP_PATH = '/v1/dump'
FLEET_PATH = '/v1/fleet'
STATE_PATH = '/v1/state'
STOP_PATH = '/v1/stop'
HEADER_AUTHORIZATION = b'authorization'
BEARER_PREFIX = b'Bearer '
REFUSALS_PREFIX = 'requests.refused.'
