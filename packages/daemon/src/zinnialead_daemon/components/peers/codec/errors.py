"""Define why a frame is dropped."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """Report a frame that is cut short or holds impossible values."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownVersion:
    """Report a frame of another framing version."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownKind:
    """Report a message that only a newer schema knows."""


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidSignature:
    """Report a frame that none of the keys has signed for this entry."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replayed:
    """Report a frame that was received before, or is too old to tell."""


FrameError = (
    Malformed | UnknownVersion | UnknownKind | InvalidSignature | Replayed
)
