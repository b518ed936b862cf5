"""Define the constants of upstreams' announcements."""

import re

MS_PER_S = 1_000.0
WHITESPACE = ' \t\n\r\v\f'
# Seconds, with a fraction or without; dates are not used.  Longer numbers than
# this are no times.
SECONDS = re.compile('[0-9]{1,12}([.][0-9]{0,9})?', re.ASCII)
# Characters of an unreadable length that are logged.
QUOTED_CHARS_MAX = 40
# A longer pause would lose the upstream for good.
PAUSE_MAX_MS = 60_000.0
