"""Share memory among the bodies of all responses in progress."""

from collections import abc
import dataclasses

# Beginning of each body that is not counted: usual bodies are shorter.
UNCOUNTED_BYTES = 8_192


@dataclasses.dataclass(slots=True, eq=False)
class Reservation:
    """Hold the memory of a body that is being received.

    ``revoke`` is called when the body must be abandoned.
    """

    revoke: abc.Callable[[], None]
    counted_bytes: int = 0
    is_revoked: bool = False


@dataclasses.dataclass(slots=True)
class Memory:
    """Hold the memory for bodies and the reservations of growing ones."""

    bytes_max: float = float('inf')
    used_bytes: int = 0
    growing: set[Reservation] = dataclasses.field(default_factory=set)


def reserve(memory: Memory, reservation: Reservation, body_bytes: int) -> None:
    """Raise a reservation to the size of its body.

    If the memory is used up, the largest of the growing reservations are
    revoked, so that short bodies are received beside long ones.
    """
    counted_bytes = _counted(body_bytes)
    if not counted_bytes or reservation.is_revoked:
        return
    memory.growing.add(reservation)
    memory.used_bytes += counted_bytes - reservation.counted_bytes
    reservation.counted_bytes = counted_bytes
    while memory.used_bytes > memory.bytes_max and memory.growing:
        largest = max(memory.growing, key=lambda x: x.counted_bytes)
        cancel(memory, largest)
        largest.is_revoked = True
        largest.revoke()


def cancel(memory: Memory, reservation: Reservation) -> None:
    """Release the memory of a reservation."""
    if reservation in memory.growing:
        memory.growing.remove(reservation)
        memory.used_bytes -= reservation.counted_bytes


def hold(memory: Memory, body_bytes: int) -> None:
    """Count the memory of a complete body until it is released."""
    memory.used_bytes += _counted(body_bytes)


def release(memory: Memory, body_bytes: int) -> None:
    """Release the memory of a complete body."""
    memory.used_bytes -= _counted(body_bytes)


def _counted(body_bytes: int) -> int:
    return max(0, body_bytes - UNCOUNTED_BYTES)
