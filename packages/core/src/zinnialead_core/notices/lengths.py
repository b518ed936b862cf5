"""Read the lengths of pauses that upstreams ask for."""

from collections import abc

from zinnialead_core.notices import const
from zinnialead_core.notices import models


def read_pauses(values: abc.Iterable[str]) -> abc.Iterator[models.Notice]:
    """Yield the longest pause of those asked for, and unreadable ones.

    >>> list(read_pauses(['1', ' 0.25 ']))
    [Pauses(pause_ms=1000.0)]
    >>> list(read_pauses(['-1']))
    [UnreadablePause(text='-1')]
    """
    lengths_s: list[float] = []
    for value in values:
        text = value.strip(const.WHITESPACE)
        if const.SECONDS.fullmatch(text):
            lengths_s.append(float(text))
        else:
            yield models.UnreadablePause(text[: const.QUOTED_CHARS_MAX])
    if lengths_s:
        yield models.Pauses(max(lengths_s) * const.MS_PER_S)
