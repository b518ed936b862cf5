"""Own an entry's parts, from set-up to clean-up."""

from collections import abc
import dataclasses
import functools

import trio

import zinnialead_core as core
from zinnialead_daemon.components import engine as engines
from zinnialead_daemon.components import front as fronts
from zinnialead_daemon.components import upstreams
from zinnialead_daemon import http

Hook = abc.Callable[[], abc.Awaitable[None]]


@dataclasses.dataclass(slots=True)
class Application:
    """Hold one entry's parts and the hooks of its life cycle."""

    engine: engines.Engine
    front: fronts.Front
    pools: upstreams.Pools
    on_stop: list[Hook]
    stopped: trio.Event


def new_application(world: core.World) -> Application:
    """Return an entry with its parts joined and nothing running."""
    engine = engines.new_engine(world)
    front = fronts.new_front(engine)
    pools = upstreams.new_pools(engine, front)
    return Application(engine, front, pools, [], trio.Event())


async def run(
    application: Application,
    bind: str,
    task_status: 'trio.TaskStatus[str]' = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve until the core says that nothing is in flight any more."""
    async with trio.open_nursery() as nursery:
        _join(application, nursery)
        nursery.start_soon(engines.run_timers, application.engine)
        bound = await nursery.start(
            http.serve,
            fronts.asgi_app(application.front),
            bind,
            application.stopped.wait,
        )
        task_status.started(bound)
        await application.stopped.wait()
        for hook in reversed(application.on_stop):
            await hook()
        nursery.cancel_scope.cancel()


def _join(application: Application, nursery: trio.Nursery) -> None:
    handlers = application.engine.handlers
    handlers['dispatch'] = lambda output: nursery.start_soon(
        upstreams.attempt, application.pools, output
    )
    handlers['cancel'] = functools.partial(upstreams.cancel, application.pools)
    handlers['answer'] = functools.partial(fronts.answer, application.front)
    handlers['send_peer'] = lambda _: None
    handlers['call_store'] = lambda _: None
    handlers['log_change'] = lambda _: None
    handlers['stopped'] = application.stopped.set
