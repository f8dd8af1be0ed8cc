"""bench.online.resuming: two ways to resume a preempted stream.

Compares resuming from the generated tokens, with and without their blocks in
the engine's prefix cache, with resuming from an exported KV state. The first
frees the slot at once, the second only after the export.
"""

import json
import statistics
import time
from typing import Any

import httpx
import msgspec

from .engine_process import open_engine
from .figures import print_line
from .rig import MODEL, PATH, completion_body

__all__ = ('measure_resume',)

GENERATED_WORDS = (128, 1024, 4096)
REPETITIONS = 5


def _make_resume_body(generated: str) -> dict[str, Any]:
    body: dict[str, Any] = msgspec.json.decode(completion_body(1))
    body['messages'].append({'role': 'assistant', 'content': generated})
    body.update(continue_final_message=True, stream=False)
    return body


async def measure_resume() -> None:
    """Print the seconds to free a slot and to the next token, by method."""
    with open_engine() as url:
        async with httpx.AsyncClient(base_url=url, timeout=None) as client:
            for words in GENERATED_WORDS:
                await _measure_words(client, words)


async def _measure_words(client: httpx.AsyncClient, words: int) -> None:
    times: dict[str, list[float]] = {
        'evicted': [],
        'cached': [],
        'export': [],
        'import': [],
    }
    for number in range(REPETITIONS):
        body = _make_resume_body(' '.join(f'k{number}' for _ in range(words)))
        times['evicted'].append(await _next_token_s(client, body))
        times['cached'].append(await _next_token_s(client, body))
        started_s = time.monotonic()
        reply = await client.post('/kv/export', content=json.dumps(body))
        times['export'].append(time.monotonic() - started_s)
        body['kv_state'] = reply.json()['state']
        times['import'].append(await _next_token_s(client, body))
    medians = {
        name: f'{statistics.median(samples) * 1000:.0f} ms'
        for name, samples in times.items()
    }
    print_line(
        f'resume after {words} kept tokens: next token by kept tokens '
        f'{medians["cached"]} cached, {medians["evicted"]} evicted, slot free '
        f'at once; by KV state {medians["import"]}, slot free after '
        f'{medians["export"]} (no target)'
    )


async def _next_token_s(
    client: httpx.AsyncClient, body: dict[str, Any]
) -> float:
    started_s = time.monotonic()
    reply = await client.post(PATH, content=json.dumps(body))
    reply.raise_for_status()
    if reply.json()['model'] != MODEL:
        raise ValueError('response names another model')
    return time.monotonic() - started_s
