"""briarrill.sidecar.partial_answer: a chat completion that can resume.

The text that an engine produced before a stream was cancelled is kept and
sent back as the start of the assistant's message, which the engine
continues.
"""

import json
import time
from typing import Any, Self

import attrs

__all__ = ('PartialAnswer',)

_EVENT_PREFIX = 'data: '
_STREAM_END = '[DONE]'


@attrs.define
class PartialAnswer:
    """Text of a chat completion so far.

    :param request: the decoded request body.
    """

    request: dict[str, Any]
    text: str = ''
    tokens: int = 0
    prompt_tokens: int = 0
    finish_reason: str = 'stop'
    answer_id: str = ''

    @classmethod
    def start(cls, body: bytes) -> Self:
        """Begin with a request body."""
        return cls(request=json.loads(body))

    def next_request(self) -> bytes:
        """Return the body that asks for the rest of the answer."""
        request = {
            **self.request,
            'stream': True,
            'stream_options': {'include_usage': True},
        }
        if self.text:
            request.update(self._continuation())
        return json.dumps(request).encode()

    def add_events(self, events: bytes) -> None:
        """Append the text of whole server-sent events."""
        for line in events.decode().splitlines():
            payload = line.removeprefix(_EVENT_PREFIX)
            if payload in {line, _STREAM_END}:
                continue
            self._add_event(json.loads(payload))

    def response_body(self) -> bytes:
        """Return the finished answer as an unstreamed response body."""
        message = {'role': 'assistant', 'content': self.text}
        choice = {
            'index': 0,
            'message': message,
            'finish_reason': self.finish_reason,
        }
        usage = {
            'prompt_tokens': self.prompt_tokens,
            'completion_tokens': self.tokens,
            'total_tokens': self.prompt_tokens + self.tokens,
        }
        return json.dumps(
            {
                'id': self.answer_id,
                'object': 'chat.completion',
                'created': int(time.time()),
                'model': self.request.get('model', ''),
                'choices': [choice],
                'usage': usage,
            }
        ).encode()

    def _continuation(self) -> dict[str, Any]:
        partial = {'role': 'assistant', 'content': self.text}
        fields: dict[str, Any] = {
            'messages': [*self.request['messages'], partial],
            'continue_final_message': True,
            'add_generation_prompt': False,
        }
        limit = self.request.get('max_tokens')
        if limit is not None:
            fields['max_tokens'] = max(1, limit - self.tokens)
        return fields

    def _add_event(self, event: dict[str, Any]) -> None:
        self.answer_id = self.answer_id or event.get('id', '')
        usage = event.get('usage')
        if usage and not self.prompt_tokens:
            self.prompt_tokens = usage['prompt_tokens']
        for choice in event.get('choices', ()):
            piece = choice.get('delta', {}).get('content')
            if piece:
                self.text += piece
                self.tokens += 1
            self.finish_reason = choice.get('finish_reason') or 'stop'
