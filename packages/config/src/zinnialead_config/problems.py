"""Say what is wrong with a file, and where."""

import typing


class Problem(typing.NamedTuple):
    """Name the file, the field's path and the reason."""

    file: str
    path: str
    reason: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        return f'{self.file}: {self.path}: {self.reason}'


Problems = tuple[Problem, ...]
