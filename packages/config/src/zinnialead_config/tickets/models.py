"""Define a ticket that was read and checked by itself."""

import typing

from zinnialead_config.tickets import documents


class Ticket(typing.NamedTuple):
    """Hold a ticket's document, the file it came from and its digest."""

    file: str
    document: documents.TicketDocument
    digest: str

    @property
    def number(self) -> int:
        """Return the ticket's number."""
        return self.document['number']
