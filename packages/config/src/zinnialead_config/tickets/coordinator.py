"""Load a ticket from a file."""

import functools
import hashlib
import pathlib

import expression
import msgspec
import pydantic

from zinnialead_config import checked
from zinnialead_config import problems
from zinnialead_config.tickets import documents
from zinnialead_config.tickets import models


@functools.cache
def _adapter() -> 'pydantic.TypeAdapter[documents.TicketDocument]':
    return pydantic.TypeAdapter(documents.TicketDocument)


def load(
    path: pathlib.Path,
) -> expression.Result[models.Ticket, problems.Problems]:
    """Return the ticket of a file, or every field that is wrong."""
    return checked.read_text(path).bind(lambda text: parse(text, str(path)))


def parse(
    text: str, file: str
) -> expression.Result[models.Ticket, problems.Problems]:
    """Return the ticket of a text, checked by itself.

    >>> parse('{"number": 1}', 't.json').error[0].path
    'operator'
    """
    return checked.parse(text, file, _adapter()).map(
        lambda document: models.Ticket(file, document, digest_of(document))
    )


def digest_of(document: documents.TicketDocument) -> str:
    """Return a digest that is equal for equal tickets."""
    encoded = msgspec.json.encode(document, order='deterministic')
    return hashlib.blake2b(encoded, digest_size=16).hexdigest()
