"""briarrill.sidecar.resumable_completion: a chat completion that can resume.

The text that an engine generated before its stream was cancelled is kept.
The next request has it as the beginning of the assistant's message, which
the engine continues.
"""

import json
import time
from typing import Any, Self

import attrs

from ..decoding import json_decoder

__all__ = ('ResumableCompletion',)

# far above a completion; an engine that generates without end must not fill
# the memory
MAX_TEXT_CHARACTERS = 8_000_000

_EVENT_PREFIX = 'data: '
_STREAM_END_PAYLOAD = '[DONE]'

_OBJECT_DECODER = json_decoder(dict[str, Any])


@attrs.define
class ResumableCompletion:
    """The text generated so far for one chat completion request.

    :param request: decoded request body.
    :param tokens: tokens generated so far.
    :param has_ended: whether the engine has sent its end event.
    """

    request: dict[str, Any]
    text: str = ''
    tokens: int = 0
    prompt_tokens: int = 0
    finish_reason: str = 'stop'
    completion_id: str = ''
    has_ended: bool = False

    @classmethod
    def from_request_body(cls, body: bytes) -> Self:
        """Create a completion without text.

        :raises MalformedMessageError: the body is no JSON object.
        """
        return cls(request=_OBJECT_DECODER.decode(body))

    def next_request_body(self) -> bytes:
        """Return the request body for the rest of the completion."""
        request = {
            **self.request,
            'stream': True,
            'stream_options': {'include_usage': True},
        }
        if self.text:
            request.update(self._continuation_fields())
        return json.dumps(request).encode()

    def add_events(self, events: bytes) -> None:
        """Append the text of complete server-sent events.

        :raises MalformedMessageError: an event is no JSON object.
        :raises ValueError: an event is malformed or an error, or the text is
            too long.
        """
        for line in events.decode().splitlines():
            payload = line.removeprefix(_EVENT_PREFIX)
            self.has_ended = self.has_ended or payload == _STREAM_END_PAYLOAD
            if payload in {line, _STREAM_END_PAYLOAD}:
                continue
            self._add_event(_OBJECT_DECODER.decode(payload.encode()))
        if len(self.text) > MAX_TEXT_CHARACTERS:
            raise ValueError(
                f'completion is over {MAX_TEXT_CHARACTERS} characters'
            )

    def response_body(self) -> bytes:
        """Return the completion as the body of an unstreamed response."""
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
                'id': self.completion_id,
                'object': 'chat.completion',
                'created': int(time.time()),
                'model': self.request.get('model', ''),
                'choices': [choice],
                'usage': usage,
            }
        ).encode()

    def _continuation_fields(self) -> dict[str, Any]:
        """Return the request fields that continue the generated text."""
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
        """Append the text of one decoded event and read its usage.

        :raises ValueError: it is an error.
        """
        if event.get('error'):
            raise ValueError(f'the engine failed: {event["error"]}')
        self.completion_id = self.completion_id or event.get('id', '')
        usage = event.get('usage')
        if usage and not self.prompt_tokens:
            self.prompt_tokens = usage['prompt_tokens']
        for choice in event.get('choices', ()):
            added_text = choice.get('delta', {}).get('content')
            if added_text:
                self.text += added_text
                self.tokens += 1
            self.finish_reason = choice.get('finish_reason') or 'stop'
