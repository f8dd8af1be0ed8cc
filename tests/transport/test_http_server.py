"""Graceful shutdown and start of the HTTP server."""

import httpx
import pytest
import trio
from quart_trio import QuartTrio

from briarrill.transport.http_server import HttpTimeouts, serve_app

PORT = 8083


def _app(entered, release):
    app = QuartTrio('test')

    @app.get('/slow')
    async def slow():
        entered.set()
        await release.wait()
        return 'whole'

    return app


def _two_part_app():
    app = QuartTrio('test')

    @app.get('/whole')
    async def whole():
        return 'first second'

    @app.get('/streamed')
    async def streamed():
        async def parts():
            yield b'first'
            yield b'second'

        return parts()

    return app


async def _wait_listening(host):
    while True:
        try:
            stream = await trio.open_tcp_stream(host, PORT)
        except OSError:
            await trio.sleep(0.01)
        else:
            return await stream.aclose()


@pytest.mark.parametrize(
    ('shutdown_grace_s', 'has_response'), [(10, True), (0.1, False)]
)
async def test_shutdown_waits_for_requests_until_graceful_timeout(
    network, shutdown_grace_s, has_response
):
    """A request that outlasts ``shutdown_grace_s`` gets no response."""
    host, stop = f'{network}.1', trio.Event()
    entered, release = trio.Event(), trio.Event()
    timeouts = HttpTimeouts(shutdown_grace_s=shutdown_grace_s)
    texts = []

    async def call():
        async with httpx.AsyncClient(trust_env=False, timeout=20) as client:
            try:
                reply = await client.get(f'http://{host}:{PORT}/slow')
            except httpx.HTTPError:
                return
            texts.append(reply.text)

    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                serve_app,
                _app(entered, release),
                host,
                PORT,
                stop.wait,
                timeouts,
            )
            await _wait_listening(host)
            nursery.start_soon(call)
            await entered.wait()
            stop.set()
            await trio.sleep(1)
            release.set()
    expected_texts = ['whole'] if has_response else []
    assert texts == expected_texts


@pytest.mark.parametrize(
    ('version', 'header'), [('1.0', ''), ('1.1', 'Connection: close\r\n')]
)
@pytest.mark.parametrize('path', ['/whole', '/streamed'])
async def test_connection_closes_after_its_last_response(
    network, version, header, path
):
    """A caller with HTTP/1.0 would wait for ever for the end of a body."""
    host = f'{network}.1'
    request = f'GET {path} HTTP/{version}\r\nHost: h\r\n{header}\r\n'
    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                serve_app, _two_part_app(), host, PORT, trio.sleep_forever
            )
            await _wait_listening(host)
            async with await trio.open_tcp_stream(host, PORT) as stream:
                await stream.send_all(request.encode())
                received = b''.join([part async for part in stream])
            nursery.cancel_scope.cancel()
    assert received.startswith(b'HTTP/1.1 200')
    assert b'first' in received
    assert b'second' in received


async def test_second_server_on_a_port_raises_os_error(network):
    host, app = f'{network}.1', QuartTrio('test')
    with pytest.raises(ExceptionGroup) as caught:
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                nursery.start_soon(
                    serve_app, app, host, PORT, trio.sleep_forever
                )
    assert caught.group_contains(OSError)
