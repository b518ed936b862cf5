"""Set up, run and shut down an entry."""

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
from zinnialead_gateway.http import memory as memories
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
# Share of the memory for the request bodies on each port.
BODIES_MEMORY_SHARE = 0.2
# Share of the memory for the bodies of all answers, of upstreams and of the
# store.  They are copied once on their way.
ANSWERS_MEMORY_SHARE = 0.15


@dataclasses.dataclass(slots=True)
class Application:
    """Hold the components of an entry."""

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
    """Serve until a signal stops the process."""
    settings = read_settings()
    async with trio.open_nursery() as nursery:
        with trio.open_signal_receiver(*SIGNALS) as signals:
            application = await set_up(
                nursery, settings, read_settings, dialect
            )
            nursery.start_soon(_handle_signals, application, signals)
            nursery.start_soon(_poll_settings, application)
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
    """Open an entry's ports and start its tasks."""
    engine = engines.new_engine(_new_world(settings))
    peer_sockets = await peers.set_up(
        engine, nursery, settings.peers_bind, settings.snapshot_binds
    )
    memory = memories.Memory(settings.memory_bytes_max * ANSWERS_MEMORY_SHARE)
    upstream_attempts = upstreams.set_up(engine, dialect, nursery, memory)
    store = stores.Store(
        engine,
        dialect,
        nursery,
        settings.store_address,
        client.Pool(tcp_keepalive=True, memory=memory),
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
        peers=peer_sockets,
        store=store,
        stop=trio.Event(),
    )
    engine.carry_out = functools.partial(carry_out, application)
    await _start(application, nursery)
    return application


def _new_world(settings: settings_module.Settings) -> gateway.World:
    # Entries that start in the same millisecond need different seeds.
    ref = settings.node.ref
    entry_hash = zlib.crc32(ref.entry.encode())
    return gateway.new_world(settings.node, seed=ref.incarnation + entry_hash)


async def _start(application: Application, nursery: trio.Nursery) -> None:
    engine = application.engine
    await _open_ports(application, nursery)
    nursery.start_soon(engines.run_timers, engine)
    nursery.start_soon(logs.run, application.logs)
    incarnation = application.settings.node.ref.incarnation
    logs.life_cycle(application.logs, 'started', incarnation=incarnation)
    engines.feed(engine, inp.Started())


def unload(application: Application) -> None:
    """Write the remaining log lines and close the peers' socket."""
    logs.life_cycle(
        application.logs, 'stopped', in_hand=_count_pending(application)
    )
    logs.flush(application.logs)
    peers.unload(application.peers)


def carry_out(application: Application, output: out.Output) -> None:
    """Pass an output to the component that carries it out."""
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
            logs.state_change(application.logs, output)
        case out.SendHeartbeat():
            peers.send_heartbeat(application.peers, output)
        case out.SendChanges():
            peers.send_changes(application.peers, output)
        case out.RequestSnapshots():
            peers.request_snapshots(application.peers, output)
        case out.CheckHealth():
            upstreams.check_health(application.front.upstreams, output)
        case out.CallStore():
            stores.call(application.store, output)
        case out.CloseIdleConnections():
            client.close_idle(application.front.upstreams.pool, output.address)
        case out.Notify():
            raise AssertionError(f'{output} must be consumed within the tick')


async def _open_ports(application: Application, nursery: trio.Nursery) -> None:
    settings = application.settings
    front = application.front
    directory = directories.Directory(application.engine, application.dialect)
    operators_view = operators.Operators(
        application.engine, application.metrics
    )
    # Each port has its own limits, so that a full front does not block
    # look-ups and readiness checks.
    ports: tuple[tuple[str, http_models.Handle], ...] = (
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
            functools.partial(operators.handle, operators_view),
        ),
    )
    for address, handle in ports:
        http_server = _new_server(application, handle)
        listener = await sockets.listen(address)
        application.servers.append(http_server)
        application.listeners.append(listener)
        nursery.start_soon(server.serve, http_server, listener)


def _new_server(
    application: Application, handle: http_models.Handle
) -> http_models.Server:
    counters = application.engine.world.counters
    memory_bytes = application.settings.memory_bytes_max
    return http_models.Server(
        handle,
        functools.partial(fronts.limits, application.front),
        application.settings.connections_max,
        functools.partial(_count, counters),
        functools.partial(fronts.refusal_response, application.front),
        functools.partial(_log_connection_failure, application),
        body_bytes_max=int(memory_bytes * BODIES_MEMORY_SHARE),
    )


def _log_connection_failure(
    application: Application, error: BaseException
) -> None:
    trace = ''.join(traceback.format_exception(error, limit=-6))
    application.engine.world.counters['http.failed'] += 1
    logs.life_cycle(application.logs, 'connection-failed', trace=trace)


def _count(counters: 'collections.Counter[str]', name: str) -> None:
    counters[f'http.{name}'] += 1


async def _drain(application: Application) -> None:
    """Serve while callers move to other entries, then finish requests."""
    grace_ms = application.settings.node.bounds.grace_ms
    started_ms = engines.now_ms()
    serve_s = const.STOP_SERVE_SHARE * grace_ms / const.MS_PER_S
    await trio.sleep(serve_s)
    for listener in application.listeners:
        listener.socket.close()
    end_ms = started_ms + grace_ms * const.STOP_END_SHARE
    left_s = max(0.0, end_ms - engines.now_ms()) / const.MS_PER_S
    with trio.move_on_after(left_s):
        await _wait_until_idle(application.servers)
    # After a pause of the process the core's deadline may be due as well.
    engines.feed(application.engine)
    write_s = const.STOP_WRITE_SHARE * grace_ms / const.MS_PER_S
    with trio.move_on_after(write_s):
        await _wait_until_idle(application.servers)


async def _wait_until_idle(servers: list[http_models.Server]) -> None:
    """Wait until no server handles a request."""
    while any(http_server.active_requests for http_server in servers):
        for http_server in servers:
            await server.wait_until_idle(http_server)


def _count_pending(application: Application) -> int:
    return len(application.front.pending)


async def _handle_signals(
    application: Application, signals: abc.AsyncIterable[int]
) -> None:
    async for number in signals:
        match number:
            case signal.SIGHUP:
                _reload(application, 'SIGHUP')
            case signal.SIGUSR1:
                dump = diagnostics.dump(
                    application.engine.world, engines.now_ms()
                )
                logs.life_cycle(application.logs, 'dump', dump=dump)
            case _:
                logs.life_cycle(application.logs, 'stopping', signal=number)
                for http_server in application.servers:
                    http_server.closing = True
                engines.feed(application.engine, inp.StopRequested())
                application.stop.set()


async def _poll_settings(application: Application) -> None:
    """Apply changes of the settings that come without a signal."""
    while True:
        await trio.sleep(const.SETTINGS_PERIOD_S)
        _reload(application, 'change')


def _reload(application: Application, cause: str) -> None:
    """Read the settings again; keep the current ones if that fails."""
    try:
        settings = application.read_settings()
    except (OSError, ValueError) as error:
        logs.life_cycle(application.logs, 'reload-failed', cause=f'{error}')
        return
    current = application.settings
    node = current.node._replace(
        bounds=settings.node.bounds, regions=settings.node.regions
    )
    if node == current.node:
        return
    application.settings = current._replace(node=node)
    application.engine.world = application.engine.world._replace(node=node)
    logs.life_cycle(application.logs, 'reloaded', cause=cause)
