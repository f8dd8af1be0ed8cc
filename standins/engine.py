"""standins.engine: a model engine with the chat completions API.

The generated words depend on seed, prompt and position only, so that a
completion that was cancelled and resumed can be compared with an
uninterrupted one. Above ``KNEE_STREAMS`` concurrent streams, the time
between two tokens of each stream grows with the number of streams.
"""

import collections
import json
import time
from collections.abc import AsyncIterator
from typing import Any

import attrs
import trio
import xxhash
from quart import Response, request
from quart_trio import QuartTrio

from .faults import add_fault_injection

__all__ = ('EngineModel', 'make_engine', 'stream_chat')

WORDS = [
    'parent',
    'handover',
    'school',
    'holiday',
    'weekend',
    'morning',
    'evening',
    'Friday',
    'Monday',
    'phase',
    'offset',
    'green',
    'detector',
    'corridor',
    'junction',
    'cycle',
    'split',
    'plan',
]

DEFAULT_MAX_TOKENS = 32

# concurrent streams above which each further one slows all of them
KNEE_STREAMS = 8

CACHE_BLOCK_WORDS = 16
# the least recently used block is evicted from the prefix cache
MAX_CACHE_BLOCKS = 4096

# size of one token's attention keys and values (KV state), and the rate at
# which it is exported and imported
KV_BYTES_PER_WORD = 131_072
KV_BYTES_PER_S = 1_250_000_000

# a request whose prompt contains this word gets a 500 response
FAILING_PROMPT_WORD = 'IMPOSSIBLE'


def kv_transfer_s(words: int) -> float:
    """Return the seconds to export or import the KV state of a stream."""
    return words * KV_BYTES_PER_WORD / KV_BYTES_PER_S


@attrs.define
class EngineModel:
    """Model of an engine's token rate and prefix cache.

    :param token_s: seconds between two tokens of one stream, up to
        ``KNEE_STREAMS`` concurrent streams.
    :param prefill_s_per_word: seconds for each prompt word not cached.
    :param running: number of streams that are being generated.
    :param kv_states: number of words by identifier of an exported KV state.
    :param calls: number of calls by the first 80 characters of their prompt.
    :param cached_blocks: hashes of the cached prefixes, in order of use.
    """

    models: tuple[str, ...]
    token_s: float
    seed: int
    prefill_s_per_word: float = 0.00005
    running: int = 0
    kv_states: dict[str, int] = attrs.field(factory=dict)
    calls: collections.Counter[str] = attrs.field(factory=collections.Counter)
    cached_blocks: collections.OrderedDict[int, None] = attrs.field(
        factory=collections.OrderedDict
    )

    def token_interval_s(self) -> float:
        """Return the seconds to the next token of each stream."""
        return self.token_s * max(1.0, self.running / KNEE_STREAMS)

    def prefill_s(self, prompt: '_Prompt') -> float:
        """Return the seconds for prefill, or for importing a KV state.

        Caches the prompt and removes the imported KV state.
        """
        words = self.kv_states.pop(prompt.kv_state, 0)
        uncached = self.cache_prefix(f'{prompt.text} {prompt.generated}')
        if words:
            return kv_transfer_s(words)
        return uncached * self.prefill_s_per_word

    def token_at(self, prompt: str, position: int) -> str:
        """Return the token at a position of the completion."""
        digest = xxhash.xxh3_64_intdigest(
            f'{self.seed} {position} {prompt}'.encode()
        )
        return f'{WORDS[digest % len(WORDS)]} '

    def cache_prefix(self, prompt: str) -> float:
        """Cache the prompt; return the number of words not cached before.

        Only whole blocks of ``CACHE_BLOCK_WORDS`` words count.
        """
        words = prompt.split()
        uncached = 0
        for end in range(CACHE_BLOCK_WORDS, len(words) + 1, CACHE_BLOCK_WORDS):
            block = xxhash.xxh3_64_intdigest(' '.join(words[:end]).encode())
            uncached += block not in self.cached_blocks
            self.cached_blocks[block] = None
            self.cached_blocks.move_to_end(block)
        while len(self.cached_blocks) > MAX_CACHE_BLOCKS:
            self.cached_blocks.popitem(last=False)
        return uncached * CACHE_BLOCK_WORDS


@attrs.frozen
class _Prompt:
    """Input of a completion.

    :param generated: tokens that an earlier stream generated, to continue.
    :param tokens: number of tokens to generate.
    :param kv_state: identifier of an exported KV state, empty for none.
    """

    text: str
    generated: str
    tokens: int
    kv_state: str = ''

    @property
    def position(self) -> int:
        """Return the number of tokens that an earlier stream generated."""
        return len(self.generated.split())


def _read_prompt(body: dict[str, Any]) -> _Prompt:
    if 'prompt' in body:
        tokens = int(body.get('max_tokens') or DEFAULT_MAX_TOKENS)
        return _Prompt(text=body['prompt'], generated='', tokens=tokens)
    messages = body['messages']
    generated = ''
    if body.get('continue_final_message'):
        generated = messages[-1]['content']
        messages = messages[:-1]
    return _Prompt(
        text='\n'.join(message['content'] for message in messages),
        generated=generated,
        tokens=int(body.get('max_tokens') or DEFAULT_MAX_TOKENS),
        kv_state=body.get('kv_state', ''),
    )


async def _generate(
    engine: EngineModel, prompt: _Prompt
) -> AsyncIterator[str]:
    engine.running += 1
    text = prompt.generated
    try:
        await trio.sleep(engine.prefill_s(prompt))
        for offset in range(prompt.tokens):
            await trio.sleep(engine.token_interval_s())
            word = engine.token_at(prompt.text, prompt.position + offset)
            text += word
            yield word
    finally:
        engine.running -= 1
        # an engine's prefix cache holds the generated tokens as well
        engine.cache_prefix(f'{prompt.text} {text}')


def _chat_event(body: dict[str, Any], **fields: Any) -> bytes:
    event = {
        'id': 'chatcmpl-standin',
        'object': 'chat.completion.chunk',
        'created': int(time.time()),
        'model': body['model'],
        **fields,
    }
    return f'data: {json.dumps(event)}\n\n'.encode()


def _chat_choices(delta: dict[str, str], reason: str | None) -> list[Any]:
    return [{'index': 0, 'delta': delta, 'finish_reason': reason}]


def _usage(prompt: _Prompt, tokens: int) -> dict[str, int]:
    words = len(prompt.text.split())
    return {
        'prompt_tokens': words,
        'completion_tokens': tokens,
        'total_tokens': words + tokens,
    }


async def stream_chat(
    engine: EngineModel, body: dict[str, Any]
) -> AsyncIterator[bytes]:
    """Generate a chat completion as server-sent events, one per token."""
    prompt = _read_prompt(body)
    yield _chat_event(
        body, choices=_chat_choices({'role': 'assistant', 'content': ''}, None)
    )
    tokens = 0
    async for word in _generate(engine, prompt):
        tokens += 1
        yield _chat_event(body, choices=_chat_choices({'content': word}, None))
    yield _chat_event(body, choices=_chat_choices({}, 'stop'))
    if body.get('stream_options', {}).get('include_usage'):
        yield _chat_event(body, choices=[], usage=_usage(prompt, tokens))
    yield b'data: [DONE]\n\n'


async def _complete_chat(
    engine: EngineModel, body: dict[str, Any]
) -> dict[str, Any]:
    prompt = _read_prompt(body)
    words = [word async for word in _generate(engine, prompt)]
    message = {'role': 'assistant', 'content': ''.join(words)}
    return {
        'id': 'chatcmpl-standin',
        'object': 'chat.completion',
        'created': int(time.time()),
        'model': body['model'],
        'choices': [{'index': 0, 'message': message, 'finish_reason': 'stop'}],
        'usage': _usage(prompt, len(words)),
    }


def _text_body(
    body: dict[str, Any], text: str, reason: str | None
) -> dict[str, Any]:
    return {
        'id': 'cmpl-standin',
        'object': 'text_completion',
        'created': int(time.time()),
        'model': body['model'],
        'choices': [{'index': 0, 'text': text, 'finish_reason': reason}],
    }


async def _stream_text(
    engine: EngineModel, body: dict[str, Any]
) -> AsyncIterator[bytes]:
    async for word in _generate(engine, _read_prompt(body)):
        event = _text_body(body, word, None)
        yield f'data: {json.dumps(event)}\n\n'.encode()
    yield b'data: [DONE]\n\n'


async def _complete_text(
    engine: EngineModel, body: dict[str, Any]
) -> dict[str, Any]:
    prompt = _read_prompt(body)
    words = [word async for word in _generate(engine, prompt)]
    completion = _text_body(body, ''.join(words), 'stop')
    return {**completion, 'usage': _usage(prompt, len(words))}


def make_engine(
    *, models: tuple[str, ...], token_s: float, seed: int
) -> QuartTrio:
    """Return the HTTP application of an engine with these models.

    :param token_s: seconds between two tokens of one stream.
    :param seed: seed of the generated words.
    """
    app = QuartTrio('engine')
    add_fault_injection(app)
    engine = EngineModel(models, token_s, seed)

    @app.get('/v1/models')
    async def show_models() -> dict[str, Any]:
        rows = [{'id': name, 'object': 'model'} for name in engine.models]
        return {'object': 'list', 'data': rows}

    @app.get('/counts')
    async def show_counts() -> dict[str, Any]:
        return {'running': engine.running, 'calls': engine.calls}

    @app.post('/kv/export')
    async def export_state() -> dict[str, str]:
        prompt = _read_prompt(json.loads(await request.get_data()))
        words = len(prompt.text.split()) + prompt.position
        await trio.sleep(kv_transfer_s(words))
        state = f'state-{time.monotonic_ns()}'
        engine.kv_states[state] = words
        return {'state': state}

    @app.post('/v1/chat/completions')
    @app.post('/v1/completions')
    async def complete() -> Response | dict[str, Any]:
        body = json.loads(await request.get_data())
        if body['model'] not in engine.models:
            return Response('unknown model\n', status=404)
        prompt = _read_prompt(body).text
        engine.calls[prompt[:80]] += 1
        if FAILING_PROMPT_WORD in prompt:
            return Response('the item cannot be completed\n', status=500)
        is_text = 'prompt' in body
        if body.get('stream'):
            events = (_stream_text if is_text else stream_chat)(engine, body)
            return Response(events, content_type='text/event-stream')
        return await (_complete_text if is_text else _complete_chat)(
            engine, body
        )

    return app
