"""Batch items preempted by online requests resume their completions."""

import contextlib
import json
import random

import httpx
import trio

from briarrill.coordination.admission import Admission
from briarrill.protocol.messages import BatchItem
from briarrill.result_codes import ResultCode
from briarrill.sidecar.upstreams import Upstream, UpstreamResponse
from standins.engine import EngineModel, stream_chat
from tests.sidecar.sidecar_setup import make_batch_runner

SEED = 7
TOKEN_COUNT = 80


class _ModelledUpstream(Upstream):
    """An upstream with a modelled engine that counts its calls."""

    def __init__(self):
        super().__init__(httpx.AsyncClient())
        self.engine = EngineModel(('model',), token_s=0.002, seed=SEED)
        self.call_count = 0

    async def fetch_models(self):
        return self.engine.models

    def iter_chunks(self, reply):
        raise NotImplementedError

    @contextlib.asynccontextmanager
    async def send(self, req):
        self.call_count += 1
        events = stream_chat(self.engine, json.loads(req.body))
        async with contextlib.aclosing(events):
            yield UpstreamResponse(200, 'text/event-stream', events)


def _item(index):
    message = {'role': 'user', 'content': f'Draft section {index}.'}
    body = {'model': 'model', 'messages': [message], 'max_tokens': TOKEN_COUNT}
    return BatchItem(
        job='job',
        index=index,
        epoch=1,
        contract='kinship',
        model='model',
        url='/v1/chat/completions',
        body=json.dumps(body).encode(),
    )


async def _run_items(upstream, admission):
    """Run four items; return their texts and token counts by index."""
    runner = make_batch_runner(upstream, admission)
    completions = {}

    async def run(index):
        outcome = await runner.run_item(_item(index))
        assert outcome.code is ResultCode.OK
        completion = json.loads(outcome.body)
        completions[index] = (
            completion['choices'][0]['message']['content'],
            completion['usage']['completion_tokens'],
        )

    with trio.fail_after(20):
        async with trio.open_nursery() as nursery:
            for index in range(4):
                nursery.start_soon(run, index)
    return completions


async def test_preempted_items_return_the_same_completions(nursery):
    expected = await _run_items(_ModelledUpstream(), Admission(2, 8))
    assert {len(text.split()) for text, _ in expected.values()} == {
        TOKEN_COUNT
    }

    upstream = _ModelledUpstream()
    admission = Admission(2, 8)
    rng = random.Random(SEED)

    async def run_online_request(contract):
        async with admission.online_slot(contract):
            await trio.sleep(rng.uniform(0, 0.01))

    async def send_bursts():
        while True:
            await trio.sleep(rng.uniform(0.01, 0.05))
            for number in range(rng.randint(1, 3)):
                nursery.start_soon(run_online_request, f'contract-{number}')

    nursery.start_soon(send_bursts)
    assert await _run_items(upstream, admission) == expected
    assert upstream.call_count > 4
    nursery.cancel_scope.cancel()
