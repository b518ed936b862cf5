"""Serve the upstreams of a run, and record what they execute."""

import dataclasses
import enum
import functools

import trio

from adapter import fakes
from soak import const
from soak import models
from soak import proxy as proxies
from zinnialead_gateway.http import models as http_models

# The part of a path that asks for work of a large part of the grace period.
SLOW_PATH = 'slow/'
SEAL_HEADER = b'Zinnialead-Response-Seal'
HEALTH_PATH = '/health'


class State(enum.Enum):
    """Say what the store holds of an upstream."""

    READY = 'ready'
    DRAINING = 'draining'
    REMOVED = 'removed'


@dataclasses.dataclass
class Upstream:
    """Hold one upstream; ``slots`` is its limit of concurrent requests.

    ``address`` is that of its proxy, empty before it has one, and ``born`` is
    the number of its run.
    """

    instance: str
    service: str
    domain: str
    slots: int = 8
    running: int = 0
    address: str = ''
    state: State = State.READY
    born: int = 5
    cold_until_ms: float = 0.0


@dataclasses.dataclass
class Endpoint:
    """Hold an address (a proxy's) and the upstream that has it now."""

    proxy: proxies.Proxy
    upstream: Upstream


async def serve(nursery, soak, upstream):
    """Serve an upstream; return its address, the target of a proxy."""
    handle = functools.partial(_handle, soak, upstream)
    return await fakes.serve(nursery, handle)


def _check_health(soak, upstream):
    headers = [(b'Zinnialead-Instance-Id', upstream.instance.encode())]
    cold_ms = upstream.cold_until_ms - soak.now_ms()
    if cold_ms > 0.0:
        headers.append((b'Zinnialead-Cold-Ms', b'%d' % cold_ms))
    return http_models.Response(200, headers, b'')


async def _handle(soak, upstream, _caller, request):
    if request.target == HEALTH_PATH.encode():
        return _check_health(soak, upstream)
    headers = {key.lower(): value for key, value in request.headers}
    name = headers[b'zinnialead-request-id']
    echoed = [(b'Zinnialead-Request-Id', name)]
    if headers[b'zinnialead-expect-instance'].decode() != upstream.instance:
        return http_models.Response(421, echoed, b'')
    if upstream.running >= upstream.slots:
        refusal = [*echoed, (b'Zinnialead-Not-Executed', b'1')]
        return http_models.Response(503, refusal, b'')
    work_ms = const.WORK_MS * soak.random.uniform(0.3, 3.0)
    if SLOW_PATH.encode() in request.target:
        grace_part = soak.random.uniform(*const.SLOW_GRACE_PARTS)
        work_ms = const.GRACE_MS * grace_part
    began_ms = soak.now_ms()
    soak.tables.runs.append(
        models.RunRow(
            name.decode(),
            upstream.instance,
            upstream.service,
            upstream.domain,
            began_ms,
            began_ms + work_ms,
        )
    )
    upstream.running += 1
    try:
        await trio.sleep(work_ms / const.MS_PER_S)
    finally:
        upstream.running -= 1
    load = f'{upstream.running},0,{upstream.slots}'.encode()
    headers = [
        *echoed,
        (SEAL_HEADER, b'seal'),
        (b'Zinnialead-Server-Load', load),
    ]
    if upstream.state is not State.READY:
        headers.append((b'Server-Leaving', b'1'))
    return http_models.Response(200, headers, b'done ' + name)
