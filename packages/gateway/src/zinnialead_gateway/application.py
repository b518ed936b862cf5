"""Own an entry's parts, from set-up to clean-up."""

import collections
from collections import abc
import dataclasses
import functools
import signal
import traceback
import zlib

import trio

from zinnialead_core import gateway
from zinnialead_core.gateway import inputs as inp
from zinnialead_core.gateway import outputs as out
from zinnialead_gateway import const
from zinnialead_gateway import diagnostics
from zinnialead_gateway import dialect as dialects
from zinnialead_gateway.directory import coordinator as directories
from zinnialead_gateway import engine as engines
from zinnialead_gateway.front import coordinator as fronts
from zinnialead_gateway.http import client
from zinnialead_gateway.http import models as http_models
from zinnialead_gateway.http import server
from zinnialead_gateway.http import sockets
from zinnialead_gateway.logs import coordinator as logs
from zinnialead_gateway.metrics import coordinator as metrics
from zinnialead_gateway.operators import coordinator as operators
from zinnialead_gateway.peers import coordinator as peers
from zinnialead_gateway import settings as settings_module
from zinnialead_gateway.store import coordinator as stores
from zinnialead_gateway.upstreams import coordinator as upstreams

ReadSettings = abc.Callable[[], settings_module.Settings]
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
# Part of the memory that bodies of callers may take.
BODIES_SHARE = 0.2


@dataclasses.dataclass(slots=True)
class Application:
    """Hold one entry's parts."""

    settings: settings_module.Settings
    read_settings: ReadSettings
    dialect: dialects.Dialect
    engine: engines.Engine
    logs: logs.Logs
    metrics: metrics.Metrics
    front: fronts.Front
    servers: list[http_models.Server]
    listeners: list[trio.SocketListener]
    peers: peers.Peers
    store: stores.Store
    stop: trio.Event


async def run(read_settings: ReadSettings, dialect: dialects.Dialect) -> None:
    """Serve until told to stop."""
    settings = read_settings()
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(*SIGNALS) as received:
            application = await set_up(
                nursery, settings, read_settings, dialect
            )
            nursery.start_soon(_mind, application, received)
            nursery.start_soon(_mind_settings, application)
            try:
                await application.stop.wait()
                await _drain(application)
            finally:
                unload(application)
            nursery.cancel_scope.cancel()


async def set_up(
    nursery: trio.Nursery,
    settings: settings_module.Settings,
    read_settings: ReadSettings,
    dialect: dialects.Dialect,
) -> Application:
    """Return an entry that serves."""
    engine = engines.new_engine(_new_world(settings))
    made_peers = await peers.set_up(
        engine, nursery, settings.peers_bind, settings.snapshot_binds
    )
    upstream_attempts = upstreams.Upstreams(
        engine, dialect, nursery, client.Pool(tcp_keepalive=False)
    )
    store = stores.Store(
        engine,
        dialect,
        nursery,
        settings.store_address,
        client.Pool(tcp_keepalive=True),
    )
    name = str(settings.node.ref.entry)
    application = Application(
        settings=settings,
        read_settings=read_settings,
        dialect=dialect,
        engine=engine,
        logs=logs.set_up(name, engine.world.counters),
        metrics=metrics.Metrics(engine),
        front=fronts.Front(engine, dialect, upstream_attempts),
        servers=[],
        listeners=[],
        peers=made_peers,
        store=store,
        stop=trio.Event(),
    )
    engine.carry_out = functools.partial(carry_out, application)
    await _start(application, nursery)
    return application


def _new_world(settings: settings_module.Settings) -> gateway.World:
    # Entries that start in the same millisecond must not draw alike.
    ref = settings.node.ref
    own = zlib.crc32(ref.entry.encode())
    return gateway.new_world(settings.node, seed=ref.incarnation + own)


async def _start(application: Application, nursery: trio.Nursery) -> None:
    engine = application.engine
    await _open_ports(application, nursery)
    nursery.start_soon(engines.run_timers, engine)
    nursery.start_soon(logs.run, application.logs)
    incarnation = application.settings.node.ref.incarnation
    logs.life(application.logs, 'started', incarnation=incarnation)
    engines.feed(engine, inp.Started())


def unload(application: Application) -> None:
    """Close what is open, and write the last lines."""
    logs.life(application.logs, 'stopped', in_hand=_in_hand(application))
    logs.flush(application.logs)
    peers.unload(application.peers)


def carry_out(application: Application, output: out.Output) -> None:
    """Hand one output to the part that carries it out."""
    match output:
        case out.Dispatch():
            upstreams.dispatch(application.front.upstreams, output)
        case out.Relay():
            metrics.observe(application.metrics, output.route, output.after_ms)
            fronts.relay(application.front, output)
        case out.Refuse():
            fronts.refuse(application.front, output)
        case out.CancelAttempt():
            upstreams.cancel(application.front.upstreams, output)
        case out.LogDecision():
            logs.decision(application.logs, output)
        case out.LogStateChange():
            logs.belief(application.logs, output)
        case out.SendHeartbeat():
            peers.send_heartbeat(application.peers, output)
        case out.SendChanges():
            peers.send_changes(application.peers, output)
        case out.RequestSnapshots():
            peers.request_snapshots(application.peers, output)
        case out.CallStore():
            stores.call(application.store, output)
        case out.CloseIdleConnections():
            client.close_idle(application.front.upstreams.pool, output.address)
        case out.Notify():
            raise AssertionError(f'{output} left the tick')


async def _open_ports(application: Application, nursery: trio.Nursery) -> None:
    settings = application.settings
    front = application.front
    directory = directories.Directory(application.engine, application.dialect)
    view = operators.Operators(application.engine, application.metrics)
    # Directory and readiness are the last to be turned away.
    served: tuple[tuple[str, http_models.Handle], ...] = (
        (settings.front_bind, functools.partial(fronts.handle, front)),
        (
            settings.directory_bind,
            functools.partial(directories.handle, directory),
        ),
        (
            settings.ready_bind,
            functools.partial(directories.handle_ready, directory),
        ),
        (
            settings.metrics_bind,
            functools.partial(operators.handle, view),
        ),
    )
    for address, handle in served:
        made = _server(application, handle)
        listener = await sockets.listen(address)
        application.servers.append(made)
        application.listeners.append(listener)
        nursery.start_soon(server.serve, made, listener)


def _server(
    application: Application, handle: http_models.Handle
) -> http_models.Server:
    counters = application.engine.world.counters
    memory = application.settings.memory_bytes_max
    return http_models.Server(
        handle,
        functools.partial(fronts.limits, application.front),
        application.settings.connections_max,
        functools.partial(_count, counters),
        functools.partial(fronts.refusal_response, application.front),
        functools.partial(_failed, application),
        body_bytes_max=int(memory * BODIES_SHARE),
    )


def _failed(application: Application, error: BaseException) -> None:
    trace = ''.join(traceback.format_exception(error, limit=-6))
    application.engine.world.counters['http.failed'] += 1
    logs.life(application.logs, 'connection-failed', trace=trace)


def _count(counters: 'collections.Counter[str]', name: str) -> None:
    counters[f'http.{name}'] += 1


async def _drain(application: Application) -> None:
    """Go on serving while callers learn other addresses, then finish."""
    grace_ms = application.settings.node.bounds.grace_ms
    began_ms = engines.now_ms()
    serve_s = const.STOP_SERVE_SHARE * grace_ms / const.MS_PER_S
    await trio.sleep(serve_s)
    for listener in application.listeners:
        listener.socket.close()
    end_ms = began_ms + grace_ms * const.STOP_END_SHARE
    left_s = max(0.0, end_ms - engines.now_ms()) / const.MS_PER_S
    with trio.move_on_after(left_s):
        for made in application.servers:
            await server.wait_until_idle(made)


def _in_hand(application: Application) -> int:
    return len(application.front.pending)


async def _mind(
    application: Application, received: abc.AsyncIterable[int]
) -> None:
    async for number in received:
        match number:
            case signal.SIGHUP:
                _reload(application, 'SIGHUP')
            case signal.SIGUSR1:
                dump = diagnostics.dump(application.engine.world)
                logs.life(application.logs, 'dump', dump=dump)
            case _:
                logs.life(application.logs, 'stopping', signal=number)
                for made in application.servers:
                    made.closing = True
                engines.feed(application.engine, inp.StopRequested())
                application.stop.set()


async def _mind_settings(application: Application) -> None:
    """Take in settings that change without a signal."""
    while True:
        await trio.sleep(const.SETTINGS_PERIOD_S)
        _reload(application, 'change')


def _reload(application: Application, cause: str) -> None:
    """Read the settings again; what can't be read changes nothing."""
    try:
        settings = application.read_settings()
    except (OSError, ValueError) as error:
        logs.life(application.logs, 'reload-failed', cause=f'{error}')
        return
    known = application.settings
    node = known.node._replace(
        bounds=settings.node.bounds, regions=settings.node.regions
    )
    if node == known.node:
        return
    application.settings = known._replace(node=node)
    application.engine.world = application.engine.world._replace(node=node)
    logs.life(application.logs, 'reloaded', cause=cause)
