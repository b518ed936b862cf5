"""Create and start entries for the daemon's tests."""

import functools

from core import samples
from zinnialead_config.settings import models as settings
from zinnialead_core import inputs as inp
from zinnialead_daemon import application as applications
from zinnialead_daemon.components import engine as engines

TOKEN = 'a-token-for-operators'
SETTINGS = settings.Settings(
    entry=samples.REF.entry,
    domain=samples.DOMAIN,
    region='kigali',
    callers_bind='127.0.0.1:0',
    operators_bind='127.0.0.1:0',
    peers_bind='127.0.0.1:0',
    operators_token=TOKEN,
    peer_keys=(settings.PeerKey(1, 'a-secret-of-the-peers'),),
)


async def start(nursery, address, body_max_bytes=65_536):
    """Start an entry whose upstreams are all at ``address``."""
    entry = applications.new_application(SETTINGS, samples.world())
    point_at(entry, address, body_max_bytes)
    run = functools.partial(applications.run, entry)
    addresses = await nursery.start(run)
    return entry, addresses


def point_at(entry, address, body_max_bytes=65_536, slots=3):
    """Put a state in force in which all upstreams are at ``address``."""
    state = samples.state(slots=slots, number=2)
    rows = {
        name: row._replace(address=address)
        for name, row in state.upstreams.items()
    }
    services = {
        name: row._replace(body_max_bytes=body_max_bytes)
        for name, row in state.services.items()
    }
    state = state._replace(upstreams=rows, services=services)
    engines.feed(entry.engine, inp.StateRead(state))
