"""Format and parse issued keys, which name their registrars."""

import typing

from zinnialead_core.components.keys import const
from zinnialead_core import ids

MARK = 'z1'
NO_WITNESS = '-'


class IssuedKey(typing.NamedTuple):
    """Hold the parts of an issued key."""

    registrars: tuple[ids.EntryRef, ...]
    issued_ms: float
    nonce: str


def is_issued(key: ids.Key) -> bool:
    """Return whether a key was issued, not chosen by the caller."""
    return key.startswith(f'{MARK}.')


def prefix(
    home: ids.EntryRef, witness: ids.EntryRef | None, issued_ms: float
) -> str:
    """Return a key prefix, to which the caller appends a dot and a nonce.

    >>> prefix(ids.EntryRef('e1', 7), None, 12.7)
    'z1.e1.7.-.0.12'
    """
    second = witness or ids.EntryRef(ids.EntryId(NO_WITNESS), 0)
    return (
        f'{MARK}.{home.entry}.{home.incarnation}'
        f'.{second.entry}.{second.incarnation}.{int(issued_ms)}'
    )


def parse(key: ids.Key) -> IssuedKey | None:
    """Parse an issued key, or return None if it is malformed.

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
    home = _parse_ref(parts[1], parts[2])
    witness = _parse_ref(parts[3], parts[4])
    if not home.entry or not witness.entry or home.entry == witness.entry:
        return None
    registrars = (home,) if witness.entry == NO_WITNESS else (home, witness)
    return IssuedKey(registrars, float(parts[5]), parts[6])


def is_expired(issued: IssuedKey, now_ms: float) -> bool:
    """Return whether a holder must refuse a key because of its age."""
    age_ms = now_ms - issued.issued_ms
    too_new = age_ms < -2 * const.CLOCK_MARGIN_MS
    return too_new or age_ms >= const.KEY_LIFETIME_MS


def is_registrable(issued: IssuedKey, now_ms: float) -> bool:
    """Return whether a registrar may still register a key.

    The registration is kept for a margin longer by the same clock, so no
    key can be registered again after its record is dropped.
    """
    too_new = now_ms - issued.issued_ms < -3 * const.CLOCK_MARGIN_MS
    return not too_new and now_ms < _registrable_until_ms(issued)


def expires_ms(issued: IssuedKey) -> float:
    """Return when a registrar may drop its record of a key."""
    return _registrable_until_ms(issued) + const.CLOCK_MARGIN_MS


def is_past_expiry(key: ids.Key, now_ms: float) -> bool:
    """Return whether no registrar can grant an issued key any more."""
    issued = parse(key)
    if issued is None:
        return False
    return now_ms >= expires_ms(issued) + const.CLOCK_MARGIN_MS


def _registrable_until_ms(issued: IssuedKey) -> float:
    return issued.issued_ms + const.KEY_LIFETIME_MS + const.CLOCK_MARGIN_MS


def _is_number(text: str) -> bool:
    # Longer numbers are slow to parse and no valid time or incarnation.
    short = 0 < len(text) <= 18
    return short and text.isascii() and text.isdigit()


def _parse_ref(entry: str, incarnation: str) -> ids.EntryRef:
    return ids.EntryRef(ids.EntryId(entry), int(incarnation))
