"""Define the message about an upstream between entries."""

import dataclasses

from zinnialead_core import ids
from zinnialead_core import notices


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamNotice:
    """Pass an upstream's announcement on to the owner of its slots.

    ``address`` is where the announcement came from, ``age_ms`` how long ago.
    A pause has the time that is left of it.
    """

    upstream: ids.UpstreamId
    address: str
    notice: notices.Leaves | notices.Pauses
    age_ms: float
