"""Simulate an upstream."""

from zinnialead_standins.upstream.coordinator import asgi_app
from zinnialead_standins.upstream.models import Behaviour
from zinnialead_standins.upstream.models import Draining
from zinnialead_standins.upstream.models import FixedLoad
from zinnialead_standins.upstream.models import Ledger
from zinnialead_standins.upstream.models import LoadReport
from zinnialead_standins.upstream.models import new_ledger
from zinnialead_standins.upstream.models import new_upstream
from zinnialead_standins.upstream.models import Pausing
from zinnialead_standins.upstream.models import RunRow
from zinnialead_standins.upstream.models import Serving
from zinnialead_standins.upstream.models import Silent
from zinnialead_standins.upstream.models import TrueLoad
from zinnialead_standins.upstream.models import Truncating
from zinnialead_standins.upstream.models import Upstream
from zinnialead_standins.upstream.models import WorkProfile

__all__ = [
    'Behaviour',
    'Draining',
    'FixedLoad',
    'Ledger',
    'LoadReport',
    'Pausing',
    'RunRow',
    'Serving',
    'Silent',
    'TrueLoad',
    'Truncating',
    'Upstream',
    'WorkProfile',
    'asgi_app',
    'new_ledger',
    'new_upstream',
]
