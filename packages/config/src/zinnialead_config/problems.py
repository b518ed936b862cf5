"""Define the problems that the check of a file finds."""

import typing


class Problem(typing.NamedTuple):
    """Locate a problem by file and field path, and give its reason."""

    file: str
    path: str
    reason: str

    def __str__(self) -> str:
        """Return the problem as one line."""
        return f'{self.file}: {self.path}: {self.reason}'


Problems = tuple[Problem, ...]
