"""Hold the constants of the look-ups component."""

CHOICES_MAX = 4
LIFETIME_MS = 10_000.0
