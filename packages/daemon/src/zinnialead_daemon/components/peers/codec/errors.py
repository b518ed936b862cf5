"""Define the reasons for dropping a frame."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Malformed:
    """Report a frame that is truncated or holds invalid values."""

    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownVersion:
    """Report a frame with an unsupported version of the framing."""

    version: int


@dataclasses.dataclass(frozen=True, slots=True)
class UnknownKind:
    """Report a message kind that only a newer schema defines."""


@dataclasses.dataclass(frozen=True, slots=True)
class InvalidSignature:
    """Report a frame that no known key signed for this entry."""


@dataclasses.dataclass(frozen=True, slots=True)
class Replayed:
    """Report a frame that was received before or is too old to check."""


FrameError = (
    Malformed | UnknownVersion | UnknownKind | InvalidSignature | Replayed
)
