"""Hold the constants of filing."""

STATE_OBJECT = 'state'
READ_BACKS_MAX = 5
