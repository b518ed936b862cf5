"""Load a ticket from a file."""

import functools
import hashlib
import pathlib

import expression
import msgspec
import pydantic

from zinnialead_config import problems
from zinnialead_config.tickets import documents
from zinnialead_config.tickets import models
from zinnialead_config import validation


@functools.cache
def _ticket_adapter() -> 'pydantic.TypeAdapter[documents.TicketDocument]':
    return pydantic.TypeAdapter(documents.TicketDocument)


def load(
    path: pathlib.Path,
) -> expression.Result[models.Ticket, problems.Problems]:
    """Load and validate the ticket in a file."""
    return validation.read_text(path).bind(lambda text: parse(text, str(path)))


def parse(
    text: str, file: str
) -> expression.Result[models.Ticket, problems.Problems]:
    """Parse and validate a ticket on its own, without the state.

    >>> parse('{"number": 1}', 't.json').error[0].path
    'operator'
    """
    return validation.parse(text, file, _ticket_adapter()).map(
        lambda document: models.Ticket(file, document, digest_of(document))
    )


def digest_of(document: documents.TicketDocument) -> str:
    """Return a digest of the content, equal for equal tickets."""
    encoded = msgspec.json.encode(document, order='deterministic')
    return hashlib.blake2b(encoded, digest_size=16).hexdigest()
