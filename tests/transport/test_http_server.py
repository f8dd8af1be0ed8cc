"""The planned stop of an HTTP server, and what becomes of its connections."""

import httpx
import pytest
import trio
from quart_trio import QuartTrio

from briarrill.transport.http_server import HttpBounds, serve_app

PORT = 8083


def _app(entered, release):
    app = QuartTrio('test')

    @app.get('/slow')
    async def slow():
        entered.set()
        await release.wait()
        return 'whole'

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
    ('graceful_s', 'is_whole'), [(10, True), (0.1, False)]
)
async def test_stop_waits_for_running_requests(network, graceful_s, is_whole):
    """The bound decides whether a request outlasts the stop."""
    host, stop = f'{network}.1', trio.Event()
    entered, release = trio.Event(), trio.Event()
    bounds = HttpBounds(graceful_s=graceful_s)
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
                bounds,
            )
            await _wait_listening(host)
            nursery.start_soon(call)
            await entered.wait()
            stop.set()
            await trio.sleep(1)
            release.set()
    wanted = ['whole'] if is_whole else []
    assert texts == wanted


async def test_port_in_use_is_an_error_at_the_start(network):
    host, app = f'{network}.1', QuartTrio('test')
    with pytest.raises(ExceptionGroup) as caught:
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                nursery.start_soon(
                    serve_app, app, host, PORT, trio.sleep_forever
                )
    assert caught.group_contains(OSError)
