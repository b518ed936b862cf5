"""Define the constants of filing."""

STATE_OBJECT = 'state'
ATTEMPTS_MAX = 5
