"""Build the states, fleets and meters that are measured."""

import collections
import functools
import secrets
import time

from zinnialead_config.settings import models as settings
from zinnialead_core.components import tickets
from zinnialead_core import ids
from zinnialead_core import messages
from zinnialead_daemon.components.peers import codec
from zinnialead_lab.capacity import const
from zinnialead_lab import fleet
from zinnialead_lab.fleet import meters


def state(sites: int, number: int = 1) -> tickets.State:
    """Return a state of 8 domains and ``sites`` upstreams, one a site."""
    services = [
        tickets.ServiceRow(
            service=ids.ServiceId(f'service-{n}'),
            idempotent=n == 0,
            default_rank=ids.RankId('urgent'),
            deadline_max_ms=30_000.0,
            service_time_ms=100.0,
            body_max_bytes=65_536,
            queue_max=1_000,
        )
        for n in range(const.SERVICE_COUNT)
    ]
    domains = [
        tickets.DomainRow(
            ids.DomainId(f'region-{n // 2}-{n % 2}'),
            ids.RegionId(f'region-{n // 2}'),
            const.DESIGN_NODES,
        )
        for n in range(const.DOMAIN_COUNT)
    ]
    upstreams = [_upstream(n, services, domains) for n in range(sites)]
    rank = tickets.RankRow(ids.RankId('urgent'), 0, 100.0, 0.0, 500.0)
    return tickets.empty_state()._replace(
        number=number,
        services={row.service: row for row in services},
        upstreams={row.upstream: row for row in upstreams},
        domains={row.domain: row for row in domains},
        ranks={rank.rank: rank},
    )


def settled_fleet(nodes: int, sites: int, seed: int) -> fleet.Fleet:
    """Return a fleet, not yet metered, whose members know each other."""
    per_domain = nodes // const.DOMAIN_COUNT
    simulation = fleet.new_fleet(state(sites), per_domain, seed)
    fleet.run_until(simulation, const.SETTLE_MS)
    simulation.counters.clear()
    return simulation


def new_meter() -> meters.Meter:
    """Return an empty meter.

    Encoding and decoding a message count as time of its class.
    """
    secret = secrets.token_hex(const.SECRET_BYTES)
    keyring = codec.new_keyring((settings.PeerKey(1, secret),))
    tick_s: dict[str, float] = collections.defaultdict(float)
    entry_s: dict[ids.EntryId, float] = collections.defaultdict(float)
    return meters.Meter(
        functools.partial(_frame_bytes, keyring, tick_s, entry_s),
        time.process_time,
        collections.Counter(),
        collections.Counter(),
        tick_s,
        collections.Counter(),
        collections.Counter(),
        entry_s,
    )


def _frame_bytes(
    keyring: codec.Keyring,
    tick_s: dict[str, float],
    entry_s: dict[ids.EntryId, float],
    sender: ids.EntryRef,
    recipient: ids.EntryId,
    message: object,
) -> int:
    assert isinstance(message, messages.Message)
    envelope = codec.Envelope(sender, 1, 0.0, message)
    started_s = time.process_time()
    frame = codec.encode(keyring, recipient, envelope)
    codec.decode_body(frame[const.FRAME_HEADER_BYTES :])
    spent_s = time.process_time() - started_s
    tick_s[f'{type(message).__name__} codec'] += spent_s
    entry_s[sender.entry] += spent_s
    return len(frame)


def _upstream(
    number: int,
    services: list[tickets.ServiceRow],
    domains: list[tickets.DomainRow],
) -> tickets.UpstreamRow:
    return tickets.UpstreamRow(
        ids.UpstreamId(f'site-{number}'),
        services[number // len(domains) % len(services)].service,
        domains[number % len(domains)].domain,
        f'10.0.{number // 250}.{number % 250}:80',
        5,
        800,
    )
