"""Start the stand-ins and the entries of a deployment."""

import functools
import itertools
import random
import socket
import time

import httpcore
import rich.console
import trio

import zinnialead_config
from zinnialead_config import objects
from zinnialead_config.settings import models as settings_models
from zinnialead_config.tickets import folding
from zinnialead_core.components import tickets
from zinnialead_daemon import application as applications
from zinnialead_daemon import http
from zinnialead_lab.demo import const
from zinnialead_lab.demo import declarations
from zinnialead_lab.demo import models
from zinnialead_standins import caller as callers
from zinnialead_standins import store as stores
from zinnialead_standins import upstream as upstreams

ANY_PORT = f'{const.HOST}:0'


async def start(
    options: models.Options,
    console: rich.console.Console,
    nursery: trio.Nursery,
) -> models.Demo:
    """Start and return the deployment, with no ticket in force yet."""
    store = stores.new_store()
    store_app = stores.asgi_app(store)
    demo = models.Demo(
        options=options,
        console=console,
        random=random.Random(options.seed),
        nursery=nursery,
        settings=declarations.read_settings(options),
        state=_first_state(options),
        store=store,
        store_address=await _serve(nursery, store_app),
        ledger=upstreams.new_ledger(),
        upstreams={},
        entries={},
        callers={},
        sent_work=[],
        checks=[],
    )
    await _start_upstreams(demo)
    await _start_entries(demo)
    _make_callers(demo)
    return demo


def _first_state(options: models.Options) -> tickets.State:
    ticket = declarations.read_ticket(options, const.FIRST_TICKET, {})
    result = folding.fold(tickets.empty_state(), ticket, 0.0)
    return result.default_value(tickets.empty_state())


async def _serve(nursery: trio.Nursery, app: http.AsgiApp) -> str:
    serve = functools.partial(http.serve, app, ANY_PORT, trio.sleep_forever)
    address: str = await nursery.start(serve)
    return address


async def _start_upstreams(demo: models.Demo) -> None:
    rows = dict(demo.state.upstreams)
    for name, row in rows.items():
        service_time_ms = demo.state.services[row.service].service_time_ms
        profile = upstreams.WorkProfile(row.slots, service_time_ms)
        upstream = upstreams.new_upstream(
            name, profile, demo.ledger, demo.options.seed
        )
        address = await _serve(demo.nursery, upstreams.asgi_app(upstream))
        rows[name] = row._replace(address=address)
        demo.upstreams[name] = upstream
    demo.state = demo.state._replace(upstreams=rows)


async def _start_entries(demo: models.Demo) -> None:
    settings = [
        _entry_settings(demo, row, number)
        for row in demo.state.domains.values()
        for number in range(1, const.ENTRIES_PER_DOMAIN + 1)
    ]
    seeds = tuple(
        settings_models.Seed(
            entry_settings.entry,
            entry_settings.domain,
            entry_settings.peers_bind,
        )
        for entry_settings in settings
    )
    for entry_settings in settings:
        vm = {
            'domain': entry_settings.domain,
            'address': entry_settings.peers_bind,
        }
        stores.put(demo.store, objects.VMS_KIND, entry_settings.entry, vm)
    for entry_settings in settings:
        await _start_entry(demo, entry_settings._replace(seeds=seeds))


def _entry_settings(
    demo: models.Demo, row: tickets.DomainRow, number: int
) -> zinnialead_config.Settings:
    return demo.settings._replace(
        entry=f'{row.domain}-{number}',
        domain=row.domain,
        region=row.region,
        callers_bind=f'{const.HOST}:{_free_port()}',
        operators_bind=ANY_PORT,
        peers_bind=f'{const.HOST}:{_free_port()}',
        store_addresses=(demo.store_address,),
        statsd=None,
    )


async def _start_entry(
    demo: models.Demo, settings: zinnialead_config.Settings
) -> None:
    incarnation = int(time.time() * const.MS_PER_S)
    world = applications.new_world(settings, incarnation)
    application = applications.new_application(settings, world)
    cancel_scope = trio.CancelScope()
    addresses = await demo.nursery.start(_run_entry, application, cancel_scope)
    demo.entries[settings.entry] = models.Entry(
        application, addresses.callers, cancel_scope
    )


async def _run_entry(
    application: applications.Application,
    cancel_scope: trio.CancelScope,
    task_status: 'trio.TaskStatus[applications.Addresses]',
) -> None:
    with cancel_scope:
        await applications.run(application, task_status)


def _make_callers(demo: models.Demo) -> None:
    for domain in demo.state.domains:
        local = [
            entry.callers_address
            for entry in demo.entries.values()
            if entry.application.settings.domain == domain
        ]
        remote = [
            entry.callers_address
            for entry in demo.entries.values()
            if entry.application.settings.domain != domain
        ]
        seeds = [*local, *itertools.islice(remote, 2)]
        demo.callers[domain] = callers.new_caller(
            domain, seeds, _new_pool(), demo.options.seed
        )


def _new_pool() -> httpcore.AsyncConnectionPool:
    return httpcore.AsyncConnectionPool(
        max_connections=const.CONNECTIONS_MAX,
        keepalive_expiry=const.KEEP_ALIVE_S,
    )


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind((const.HOST, 0))
        port: int = probe.getsockname()[1]
    return port
