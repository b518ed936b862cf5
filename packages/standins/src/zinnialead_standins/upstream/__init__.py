"""Stand in for an upstream."""

from zinnialead_standins.upstream.coordinator import asgi_app
from zinnialead_standins.upstream.models import Behaviour
from zinnialead_standins.upstream.models import Cutting
from zinnialead_standins.upstream.models import Draining
from zinnialead_standins.upstream.models import Frozen
from zinnialead_standins.upstream.models import Honest
from zinnialead_standins.upstream.models import Ledger
from zinnialead_standins.upstream.models import new_ledger
from zinnialead_standins.upstream.models import new_upstream
from zinnialead_standins.upstream.models import Plan
from zinnialead_standins.upstream.models import Report
from zinnialead_standins.upstream.models import RunRow
from zinnialead_standins.upstream.models import Serving
from zinnialead_standins.upstream.models import Silent
from zinnialead_standins.upstream.models import Upstream

__all__ = [
    'Behaviour',
    'Cutting',
    'Draining',
    'Frozen',
    'Honest',
    'Ledger',
    'Plan',
    'Report',
    'RunRow',
    'Serving',
    'Silent',
    'Upstream',
    'asgi_app',
    'new_ledger',
    'new_upstream',
]
