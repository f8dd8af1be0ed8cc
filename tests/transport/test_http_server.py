"""The planned stop of an HTTP server, and what becomes of its connections."""

import httpx
import pytest
import trio
from quart_trio import QuartTrio

from briarrill.transport.http_server import HttpBounds, serve_app

PORT = 8083


def _app(release):
    app = QuartTrio('test')

    @app.get('/slow')
    async def slow():
        await release.wait()
        return 'whole'

    return app


@pytest.mark.parametrize(
    ('graceful_s', 'is_whole'), [(10, True), (0.1, False)]
)
async def test_stop_waits_for_running_requests(network, graceful_s, is_whole):
    """The bound decides whether a request outlasts the stop."""
    host, stop, release = f'{network}.1', trio.Event(), trio.Event()
    bounds = HttpBounds(graceful_s=graceful_s)
    texts = []

    async def call():
        async with httpx.AsyncClient(trust_env=False) as client:
            try:
                reply = await client.get(f'http://{host}:{PORT}/slow')
            except httpx.HTTPError:
                return
            texts.append(reply.text)

    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                serve_app, _app(release), host, PORT, stop.wait, bounds
            )
            await trio.sleep(0.3)
            nursery.start_soon(call)
            await trio.sleep(0.3)
            stop.set()
            await trio.sleep(1)
            release.set()
    assert texts == (['whole'] if is_whole else [])


async def test_port_in_use_is_an_error_at_the_start(network):
    host, app = f'{network}.1', QuartTrio('test')
    with pytest.raises(ExceptionGroup) as caught:
        async with trio.open_nursery() as nursery:
            for _ in range(2):
                nursery.start_soon(
                    serve_app, app, host, PORT, trio.sleep_forever
                )
    assert caught.group_contains(OSError)
