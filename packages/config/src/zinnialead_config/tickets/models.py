"""Define a validated ticket."""

import typing

from zinnialead_config.tickets import documents


class Ticket(typing.NamedTuple):
    """Hold a ticket's document, the file it came from and its digest."""

    file: str
    document: documents.TicketDocument
    digest: str

    @property
    def number(self) -> int:
        """Return the position of the ticket in the sequence, from 1."""
        return self.document['number']
