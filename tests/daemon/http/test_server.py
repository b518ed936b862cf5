"""Serve valid and malformed requests over sockets."""

import collections
import functools
import pathlib
import random
import ssl

import httpcore
import trio
import trio.testing

from zinnialead_daemon import http

HERE = pathlib.Path(__file__).parent
CERTIFICATE = str(HERE / 'test-only-certificate.pem')
KEY = str(HERE / 'test-only-key.pem')
LARGE = b'x' * 30_000_000
GET = b'GET /x HTTP/1.1\r\nhost: a\r\n\r\n'


async def respond_hello(scope, receive, send):
    await http.respond(send, 200, [], b'hello')


async def start(nursery, **options):
    binding = http.Binding('127.0.0.1:0', **options)
    run = functools.partial(
        http.serve, respond_hello, binding, trio.sleep_forever
    )
    return await nursery.start(run)


async def exchange(address, data):
    host, _, port = address.rpartition(':')
    async with await trio.open_tcp_stream(host, int(port)) as stream:
        await stream.send_all(data)
        await stream.send_eof()
        return b''.join([chunk async for chunk in stream])


async def test_connections_above_the_limit_are_rejected(nursery):
    rejections = collections.Counter()
    address = await start(
        nursery,
        connections_max=1,
        on_rejected=functools.partial(rejections.update, ['rejected']),
    )
    host, _, port = address.rpartition(':')
    async with await trio.open_tcp_stream(host, int(port)) as connection:
        await connection.send_all(GET)
        assert await connection.receive_some()
        assert await exchange_or_reset(address) == b''
        assert rejections['rejected'] == 1
    nursery.cancel_scope.cancel()


async def test_a_connection_closed_by_its_peer_is_not_counted(nursery):
    address = await start(nursery, connections_max=1)
    for _ in range(2):
        # A client that reads the complete response closes without a reset.
        async with httpcore.AsyncConnectionPool() as pool:
            answer = await pool.request('GET', f'http://{address}/x')
        assert answer.content == b'hello'
        await trio.testing.wait_all_tasks_blocked(0.01)
    nursery.cancel_scope.cancel()


async def test_clients_that_do_not_read_cannot_keep_a_server_from_ending(
    nursery,
):
    async def respond_large(scope, receive, send):
        await http.respond(send, 200, [], LARGE)

    run = functools.partial(
        http.serve, respond_large, '127.0.0.1:0', trio.sleep_forever
    )
    clients, ended = [], trio.Event()
    async with trio.open_nursery() as server:
        host, _, port = (await server.start(run)).rpartition(':')
        for _ in range(3):
            client = await trio.open_tcp_stream(host, int(port))
            clients.append(client)
            await client.send_all(GET)
            assert await client.receive_some(1)
        await trio.testing.wait_all_tasks_blocked(0.1)
        nursery.start_soon(close_late, ended, clients)
        server.cancel_scope.cancel()
    ended.set()
    await trio.testing.wait_all_tasks_blocked()


async def close_late(ended, clients):
    with trio.move_on_after(3.0):
        await ended.wait()
    for client in clients:
        await client.aclose()
    assert ended.is_set(), 'the server waited for its clients'


async def exchange_or_reset(address):
    try:
        return await exchange(address, GET)
    except trio.BrokenResourceError:
        return b''


async def test_tls_is_served_from_the_settings_files(nursery):
    address = await start(nursery, certificate_file=CERTIFICATE, key_file=KEY)
    context = ssl.create_default_context(cafile=CERTIFICATE)
    async with httpcore.AsyncConnectionPool(ssl_context=context) as pool:
        answer = await pool.request('GET', f'https://{address}/')
    assert answer.content == b'hello'
    nursery.cancel_scope.cancel()


async def test_malformed_requests_do_not_end_the_server(nursery):
    address = await start(nursery)
    generator = random.Random(1)
    requests = [
        GET[:-4],
        GET.replace(b'1.1', b'9.9'),
        b'GET /x HTTP/1.1\r\ncontent-length: -1\r\n\r\n',
        b'GET /x HTTP/1.1\r\nx: ' + b'y' * 70_000 + b'\r\n\r\n',
        b'POST /x HTTP/1.1\r\nhost: a\r\ncontent-length: 9\r\n\r\nshort',
        b'PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n' + generator.randbytes(64),
        GET[:-2] + b'connection: upgrade\r\nupgrade: websocket\r\n\r\n',
        *(generator.randbytes(200) for _ in range(20)),
    ]
    for data in requests:
        try:
            await exchange(address, data)
        except trio.BrokenResourceError:
            continue
    assert b'hello' in await exchange(address, GET)
    nursery.cancel_scope.cancel()
