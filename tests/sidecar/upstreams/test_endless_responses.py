"""Engines that send bytes without end."""

import contextlib

import httpx
import pytest
import trio

from briarrill.coordination.admission import Admission
from briarrill.protocol.messages import BatchItem
from briarrill.result_codes import ResultCode
from briarrill.sidecar import resumable_completion, stall_limits
from briarrill.sidecar.upstreams import EngineUpstream, UpstreamRequest
from briarrill.sidecar.upstreams import engine as engine_module
from briarrill.sidecar.upstreams.service import ServiceUpstream
from briarrill.transport.bounded_http import PARTS_PER_TURN
from tests.endless_engine import (
    MAX_SENT_BYTES,
    EndlessEngine,
    dribbling_engine,
    every_endless_response,
)
from tests.serving import serve_standin
from tests.sidecar.sidecar_setup import make_batch_runner

LIMIT_S = 0.4
MAX_BYTES = 100_000
MAX_WAIT_S = 8

BODY = b'{"model": "model", "messages": []}'

every_engine = pytest.mark.parametrize(
    'make_engine', [EndlessEngine, dribbling_engine]
)


@pytest.fixture(autouse=True)
def short_limits(monkeypatch):
    """Have the limits reached soon; that there are limits is the same."""
    monkeypatch.setattr(engine_module, 'MODELS_TIMEOUT_S', LIMIT_S)
    monkeypatch.setattr(stall_limits, 'MAX_EVENT_WAIT_S', LIMIT_S)
    for module, name in (
        (engine_module, 'MAX_MODELS_BYTES'),
        (engine_module, 'MAX_JSON_BYTES'),
        (engine_module, 'MAX_EVENT_BYTES'),
        (resumable_completion, 'MAX_TEXT_CHARACTERS'),
    ):
        monkeypatch.setattr(module, name, MAX_BYTES)


@contextlib.asynccontextmanager
async def _upstream_of(engine, network):
    """Yield the client of an engine; it must close what is endless."""
    async with serve_standin(engine, (f'{network}.1', 8080)) as address:
        url = f'http://{address[0]}:{address[1]}'
        async with httpx.AsyncClient(base_url=url, timeout=None) as client:
            with trio.fail_after(MAX_WAIT_S):
                yield EngineUpstream(client)
                while not (engine.has_answered and engine.is_cut):
                    await trio.sleep(0.01)
    assert engine.sent_bytes < MAX_SENT_BYTES


@every_endless_response
@every_engine
async def test_endless_list_of_models_ends(network, kind, make_engine):
    async with _upstream_of(make_engine(kind), network) as upstream:
        with pytest.raises(httpx.HTTPError):
            await upstream.fetch_models()


@every_endless_response
@every_engine
async def test_item_of_an_endless_response_fails(network, kind, make_engine):
    item = BatchItem('j', 0, 1, 'c', 'model', '/v1/chat/completions', BODY)
    async with _upstream_of(make_engine(kind), network) as upstream:
        runner = make_batch_runner(upstream, Admission(2, 2))
        outcome = await runner.run_item(item)
        assert outcome.code is ResultCode.UPSTREAM_FAILED


@every_endless_response
async def test_endless_completion_takes_no_memory_without_end(network, kind):
    """Online requests have a deadline; until then chunks stay small."""
    req = UpstreamRequest('POST', '/v1/chat/completions', BODY)
    async with _upstream_of(EndlessEngine(kind), network) as upstream:
        with trio.move_on_after(1), contextlib.suppress(httpx.HTTPError):
            async with upstream.send(req) as response:
                async for chunk in response.chunks:
                    assert len(chunk) < 2 * MAX_BYTES


async def _yield_tiny_parts(count):
    yield b'data: '
    for _ in range(count):
        yield b'x'
    yield b'\n\ndata: [DONE]\n\n'


@pytest.mark.parametrize('upstream_type', [EngineUpstream, ServiceUpstream])
async def test_tiny_parts_leave_other_tasks_their_turn(upstream_type):
    count = 5000
    reply = httpx.Response(
        200,
        headers={'content-type': 'text/event-stream'},
        content=_yield_tiny_parts(count),
    )
    turns = []

    async def count_turns():
        while True:
            turns.append(1)
            await trio.lowlevel.checkpoint()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(count_turns)
        chunks = upstream_type(None).iter_chunks(reply)
        body = b''.join([chunk async for chunk in chunks])
        nursery.cancel_scope.cancel()
    assert body == b'data: ' + b'x' * count + b'\n\ndata: [DONE]\n\n'
    assert len(turns) >= count // PARTS_PER_TURN - 2
