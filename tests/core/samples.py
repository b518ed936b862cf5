"""Build small worlds and requests for the core's tests."""

import zinnialead_core as core
from zinnialead_core.components import keys
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_core import world as world_module

DOMAIN = 'kigali-a'
REF = ids.EntryRef('entry-1', 1)


def service(name: str, idempotent: bool) -> tickets.ServiceRow:
    return tickets.ServiceRow(
        service=name,
        idempotent=idempotent,
        default_rank='urgent',
        deadline_max_ms=30_000.0,
        service_time_ms=20.0,
        body_max_bytes=65_536,
        queue_max=100,
    )


def state(slots: int = 3, number: int = 1) -> tickets.State:
    services = (service('pricebook', True), service('intake', False))
    upstreams = [
        tickets.UpstreamRow(
            f'{x.service}-1', x.service, DOMAIN, '127.0.0.1:1', slots, 800
        )
        for x in services
    ]
    ranks = (
        tickets.RankRow('urgent', 0, 100.0, 0.0, 200.0),
        tickets.RankRow('normal', 1, 10.0, 0.1, 1000.0),
        tickets.RankRow('night', 2, 1.0, 0.05, 10_000.0),
    )
    return tickets.empty_state()._replace(
        number=number,
        services={x.service: x for x in services},
        upstreams={x.upstream: x for x in upstreams},
        domains={DOMAIN: tickets.DomainRow(DOMAIN, 'kigali', 4)},
        ranks={x.rank: x for x in ranks},
    )


def world(slots: int = 3) -> core.World:
    node = world_module.NodeRow(REF, DOMAIN, 'kigali', '127.0.0.1:0')
    new_world = core.new_world(node, seed=1)
    own_entry = inp.PeerSeen(REF.entry, DOMAIN, '127.0.0.1:0')
    list(core.tick(new_world, 0.0, [own_entry, inp.StateRead(state(slots))]))
    return new_world


def issued_key(nonce: str, issued_ms: float = 0.0) -> str:
    return f'{keys.prefix(REF, None, issued_ms)}.{nonce}'


def request(
    request_id: int,
    service: str = 'pricebook',
    rank: str = 'urgent',
    key: str | None = None,
    deadline_ms: float = 5_000.0,
) -> inp.RequestArrived:
    return inp.RequestArrived(request_id, service, rank, deadline_ms, key=key)
