"""Write and read keys that name their registrars."""

import typing

from zinnialead_core.components.keys import const
from zinnialead_core import ids

MARK = 'z1'
NOBODY = '-'


class IssuedKey(typing.NamedTuple):
    """Hold what an issued key says: its registrars and its issue time."""

    registrars: tuple[ids.EntryRef, ...]
    issued_ms: float
    nonce: str


def is_issued(key: ids.Key) -> bool:
    """Tell an issued key from one that a caller chose freely."""
    return key.startswith(f'{MARK}.')


def prefix(
    home: ids.EntryRef, witness: ids.EntryRef | None, issued_ms: float
) -> str:
    """Return the start of a key, to which the caller adds its nonce.

    >>> prefix(ids.EntryRef('e1', 7), None, 12.7)
    'z1.e1.7.-.0.12'
    """
    other = witness or ids.EntryRef(ids.EntryId(NOBODY), 0)
    return (
        f'{MARK}.{home.entry}.{home.incarnation}'
        f'.{other.entry}.{other.incarnation}.{int(issued_ms)}'
    )


def parse(key: ids.Key) -> IssuedKey | None:
    """Read an issued key, or return None where it is malformed.

    >>> parse('z1.e1.7.e2.9.12.nonce').registrars[1]
    EntryRef(entry='e2', incarnation=9)
    >>> parse('z1.e1.7.e1.7.12.nonce') is None
    True
    """
    parts = key.split('.', 6)
    if len(parts) != 7 or parts[0] != MARK:
        return None
    numbers = (parts[2], parts[4], parts[5])
    if not all(map(_is_number, numbers)):
        return None
    if not 0 < len(parts[6]) <= const.NONCE_MAX_CHARS:
        return None
    home = _ref(parts[1], parts[2])
    witness = _ref(parts[3], parts[4])
    if not home.entry or not witness.entry or home.entry == witness.entry:
        return None
    pair = (home,) if witness.entry == NOBODY else (home, witness)
    return IssuedKey(pair, float(parts[5]), parts[6])


def expired(issued: IssuedKey, now_ms: float) -> bool:
    """Say whether a holder must refuse a key by its issue time."""
    age_ms = now_ms - issued.issued_ms
    too_new = age_ms < -2 * const.CLOCK_MARGIN_MS
    return too_new or age_ms >= const.KEY_LIFETIME_MS


def registrable(issued: IssuedKey, now_ms: float) -> bool:
    """Say whether a registrar may still register a key.

    A registration outlives this by a margin on the same clock, so that
    no key can be registered again after its record is dropped.
    """
    too_new = now_ms - issued.issued_ms < -3 * const.CLOCK_MARGIN_MS
    return not too_new and now_ms < _last_ms(issued)


def expires_ms(issued: IssuedKey) -> float:
    """Return when a registrar may drop its record of a key."""
    return _last_ms(issued) + const.CLOCK_MARGIN_MS


def _last_ms(issued: IssuedKey) -> float:
    return issued.issued_ms + const.KEY_LIFETIME_MS + const.CLOCK_MARGIN_MS


def _is_number(text: str) -> bool:
    # Long runs of digits would cost time and mean no time or run.
    short = 0 < len(text) <= 18
    return short and text.isascii() and text.isdigit()


def _ref(entry: str, incarnation: str) -> ids.EntryRef:
    return ids.EntryRef(ids.EntryId(entry), int(incarnation))
