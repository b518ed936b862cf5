"""Start and stop the components of an entry."""

from collections import abc
import dataclasses
import functools
import typing
import zlib

import trio

from zinnialead_config.settings import models as settings_models
import zinnialead_core as core
from zinnialead_core import ids
from zinnialead_core import inputs as inp
from zinnialead_daemon.components import engine as engines
from zinnialead_daemon.components import front as fronts
from zinnialead_daemon.components.front import diagnostics as front_dump
from zinnialead_daemon.components import logs
from zinnialead_daemon.components import metrics
from zinnialead_daemon.components import operators
from zinnialead_daemon.components import peers
from zinnialead_daemon.components.peers import diagnostics as peers_dump
from zinnialead_daemon.components import store
from zinnialead_daemon.components.store import diagnostics as store_dump
from zinnialead_daemon.components import upstreams
from zinnialead_daemon.components.upstreams import diagnostics as pools_dump
from zinnialead_daemon import const
from zinnialead_daemon import http

StopHook = abc.Callable[[], abc.Awaitable[None]]


class Addresses(typing.NamedTuple):
    """Hold the bound addresses of the callers' and operators' servers."""

    callers: str
    operators: str


@dataclasses.dataclass(slots=True)
class Application:
    """Hold the components of one entry and their stop hooks.

    ``serve_scope`` ends what is served at the end of the grace period.
    """

    settings: settings_models.Settings
    engine: engines.Engine
    front: fronts.Front
    pools: upstreams.Pools
    operators: operators.Operators
    stop_hooks: list[StopHook]
    stopped: trio.Event
    addresses: Addresses | None = None
    linger_s: float = const.STOP_LINGER_S
    serve_scope: trio.CancelScope = dataclasses.field(
        default_factory=trio.CancelScope
    )


SetUp = abc.Callable[
    [Application, trio.Nursery], abc.Awaitable[StopHook | None]
]


def new_world(
    settings: settings_models.Settings, incarnation: int
) -> core.World:
    """Return empty tables for a new run of the configured entry."""
    node = core.NodeRow(
        ids.EntryRef(ids.EntryId(settings.entry), incarnation),
        ids.DomainId(settings.domain),
        ids.RegionId(settings.region),
        settings.peers_address or settings.peers_bind,
        settings.callers_address or settings.callers_bind,
        settings.stop_grace_ms,
    )
    # The entry's hash keeps entries that start in the same millisecond
    # from drawing the same random numbers.
    entry_hash = zlib.crc32(settings.entry.encode())
    return core.new_world(node, seed=incarnation + entry_hash)


def new_application(
    settings: settings_models.Settings, world: core.World
) -> Application:
    """Return an entry whose components are wired but not started."""
    engine = engines.new_engine(world)
    front = fronts.new_front(engine, settings.bounds)
    pools = upstreams.new_pools(engine, front)
    token = settings.operators_token.encode()
    operators_context = operators.Operators(engine, token)
    operators_context.edges['front'] = functools.partial(
        front_dump.dump, front
    )
    operators_context.edges['upstreams'] = functools.partial(
        pools_dump.dump, pools
    )
    application = Application(
        settings, engine, front, pools, operators_context, [], trio.Event()
    )
    # A signal may stop the entry before its components are set up.
    engine.handlers['stop_started'] = functools.partial(
        _start_stop, application
    )
    engine.handlers['stopped'] = application.stopped.set
    return application


async def run(
    application: Application,
    task_status: 'trio.TaskStatus[Addresses]' = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until a stop is requested and no request is in flight.

    A stop also ends with its grace period.
    """
    async with trio.open_nursery() as nursery:
        try:
            for set_up in SET_UPS:
                hook = await set_up(application, nursery)
                if hook is not None:
                    application.stop_hooks.append(hook)
            addresses = await _open_ports(application, nursery)
            application.addresses = addresses
            task_status.started(addresses)
            with application.serve_scope:
                await application.stopped.wait()
                await application.front.idle.wait()
                # Requests already on their way get a refusal instead of a
                # reset connection.
                await trio.sleep(application.linger_s)
                await application.front.idle.wait()
            fronts.record_cut(application.front)
        finally:
            await _run_stop_hooks(application)
        nursery.cancel_scope.cancel()


def stop(application: Application) -> None:
    """Finish what is in flight, then end."""
    engines.feed(application.engine, inp.StopRequested())


def force_stop(application: Application) -> None:
    """Answer what is in flight, and end whether or not it is read."""
    engines.feed(application.engine, inp.StopForced())
    end_s = trio.current_time() + const.STOP_FORCED_S
    scope = application.serve_scope
    scope.deadline = min(scope.deadline, end_s)


def has_cut(application: Application) -> bool:
    """Return whether the stop ended any request before its answer."""
    counters = application.engine.world.counters
    return bool(counters['requests.stop_cut'] + counters['front.answers_cut'])


def dump(application: Application) -> operators.FullDump:
    """Return the state dump of the core and of each component."""
    return operators.full_dump(application.operators)


def _start_stop(application: Application) -> None:
    """Admit no request, and end at the latest with the grace period."""
    fronts.stop(application.front)
    grace_s = application.settings.stop_grace_ms / const.MS_PER_S
    application.serve_scope.deadline = (
        trio.current_time() + grace_s - const.STOP_UNLOAD_S
    )


async def _run_stop_hooks(application: Application) -> None:
    for hook in reversed(application.stop_hooks):
        with trio.move_on_after(const.STOP_HOOK_TIMEOUT_S, shield=True):
            await hook()


async def _set_up_engine(
    application: Application, nursery: trio.Nursery
) -> StopHook | None:
    engine = application.engine
    log = logs.new_logs(engine)
    engine.handlers['log_change'] = functools.partial(logs.log_change, log)
    nursery.start_soon(engines.run_timers, engine)
    return None


async def _set_up_peers(
    application: Application, nursery: trio.Nursery
) -> StopHook | None:
    settings = application.settings
    engine = application.engine
    transport = await peers.set_up(
        engine, nursery, settings.peers_bind, settings.peer_keys
    )
    engine.handlers['send_peer'] = functools.partial(peers.send, transport)
    edges = application.operators.edges
    edges['peers'] = functools.partial(peers_dump.dump, transport)
    return functools.partial(peers.unload, transport)


async def _set_up_store(
    application: Application, nursery: trio.Nursery
) -> StopHook | None:
    engine = application.engine
    client = store.set_up(
        engine, nursery, application.settings.store_addresses
    )
    engine.handlers['call_store'] = functools.partial(store.call, client)
    edges = application.operators.edges
    edges['store'] = functools.partial(store_dump.dump, client)
    return functools.partial(store.unload, client)


async def _set_up_upstreams(
    application: Application, nursery: trio.Nursery
) -> StopHook | None:
    pools = application.pools
    handlers = application.engine.handlers
    handlers['dispatch'] = lambda output: nursery.start_soon(
        upstreams.run_attempt, pools, output
    )
    handlers['cancel'] = lambda output: nursery.start_soon(
        upstreams.cancel_attempt, pools, output
    )
    nursery.start_soon(upstreams.run_polls, pools)
    return functools.partial(upstreams.close, pools)


async def _set_up_front(
    application: Application, nursery: trio.Nursery
) -> StopHook | None:
    handlers = application.engine.handlers
    handlers['answer'] = functools.partial(fronts.answer, application.front)
    return None


async def _set_up_metrics(
    application: Application, nursery: trio.Nursery
) -> StopHook | None:
    server = application.settings.statsd
    if server is None:
        return None
    sender = metrics.new_metrics(application.engine, application.front, server)
    nursery.start_soon(metrics.run, sender)

    return functools.partial(_flush, sender)


async def _flush(sender: metrics.Metrics) -> None:
    metrics.flush(sender)


async def _seed_members(
    application: Application, nursery: trio.Nursery
) -> StopHook | None:
    node = application.engine.world.node
    own_peer = inp.PeerSeen(node.ref.entry, node.domain, node.address)
    seeds = (
        inp.PeerSeen(
            ids.EntryId(seed.entry), ids.DomainId(seed.domain), seed.address
        )
        for seed in application.settings.seeds
    )
    engines.feed(application.engine, own_peer, *seeds)
    return None


def _new_binding(
    application: Application, address: str, server_name: str
) -> http.Binding:
    settings = application.settings
    tls = settings.tls
    return http.Binding(
        address,
        tls.certificate_file if tls else None,
        tls.key_file if tls else None,
        settings.bounds.connections_max,
        functools.partial(
            _increment, application, f'{server_name}.connections_full'
        ),
        functools.partial(
            _increment, application, f'{server_name}.connections_failed'
        ),
    )


def _increment(application: Application, name: str) -> None:
    application.engine.world.counters[name] += 1


async def _open_ports(
    application: Application, nursery: trio.Nursery
) -> Addresses:
    settings = application.settings
    operators_address = await nursery.start(
        http.serve,
        operators.asgi_app(application.operators),
        _new_binding(application, settings.operators_bind, 'operators'),
        trio.sleep_forever,
    )
    callers_address = await nursery.start(
        http.serve,
        fronts.asgi_app(application.front),
        _new_binding(application, settings.callers_bind, 'front'),
        trio.sleep_forever,
    )
    return Addresses(callers_address, operators_address)


# Called in this order; the hooks they return run in reverse at the stop.
SET_UPS: tuple[SetUp, ...] = (
    _set_up_peers,
    _set_up_store,
    _set_up_engine,
    _set_up_upstreams,
    _set_up_front,
    _set_up_metrics,
    _seed_members,
)
