"""briarrill.protocol.callers_api: data formats of the callers' JSON API."""

import itertools
from typing import Any

import attrs
import msgspec
import xxhash

from ..decoding import json_decoder
from ..errors import (
    BadRequestError,
    BriarrillError,
    InvalidLinesError,
    MalformedMessageError,
)

__all__ = (
    'CompletionHead',
    'InputLine',
    'check_input_line',
    'error_response_body',
    'parse_completion',
    'parse_input_line',
    'prompt_parts',
    'result_line',
)

# endpoints that lines of a batch input file may name in ``url``
BATCH_ENDPOINTS = ('/v1/chat/completions',)


@attrs.frozen
class CompletionHead:
    """The fields of a completion request body that briarrill reads."""

    model: str
    stream: bool = False
    max_tokens: int | None = None
    user: str = ''


@attrs.frozen
class InputLine:
    """One line of a batch input file."""

    custom_id: str
    method: str
    url: str
    body: msgspec.Raw

    @property
    def model(self) -> str:
        """Return the model named in the line's body.

        :raises BadRequestError: the body is no completion request.
        """
        return parse_completion(bytes(self.body)).model


@attrs.frozen
class _Prompt:
    """The messages of a chat completion request, undecoded."""

    messages: tuple[msgspec.Raw, ...] = ()


# shared messages that are told apart; further ones are ignored
_MAX_PROMPT_PARTS = 16

_PROMPT_DECODER = json_decoder(_Prompt)
_COMPLETION_DECODER = json_decoder(CompletionHead)
_INPUT_LINE_DECODER = json_decoder(InputLine)


def parse_completion(body: bytes) -> CompletionHead:
    """Decode the fields of :class:`CompletionHead` from a request body.

    :raises BadRequestError: the body is not JSON, or a field is missing or
        of the wrong type.
    """
    try:
        return _COMPLETION_DECODER.decode(body)
    except MalformedMessageError as exc:
        raise BadRequestError(f'request body: {exc.message}') from exc


def prompt_parts(body: bytes) -> tuple[str, ...]:
    """Return digests of the messages that a prompt may share with others.

    These are all but the last one, in order; none for other requests.
    """
    try:
        messages = _PROMPT_DECODER.decode(body).messages
    except MalformedMessageError:
        return ()
    shared = itertools.islice(messages[:-1], _MAX_PROMPT_PARTS)
    return tuple(map(xxhash.xxh3_64_hexdigest, map(bytes, shared)))


def parse_input_line(line: bytes) -> InputLine:
    """Decode one line of a batch input file.

    :raises InvalidLinesError: the line is not JSON, or a field is missing or
        of the wrong type.
    """
    try:
        return _INPUT_LINE_DECODER.decode(line)
    except MalformedMessageError as exc:
        raise InvalidLinesError(exc.message) from exc


def check_input_line(line: bytes) -> InputLine:
    """Decode one line of a batch input file and validate its fields.

    :raises InvalidLinesError: the line is malformed, or its custom_id,
        method, url or body is invalid.
    """
    parsed = parse_input_line(line)
    if not parsed.custom_id:
        raise InvalidLinesError('custom_id: must not be empty')
    if parsed.method != 'POST':
        raise InvalidLinesError('method: must be POST')
    if parsed.url not in BATCH_ENDPOINTS:
        allowed = ', '.join(BATCH_ENDPOINTS)
        raise InvalidLinesError(f'url: must be one of {allowed}')
    try:
        parse_completion(bytes(parsed.body))
    except BadRequestError as exc:
        raise InvalidLinesError(f'body: {exc.message}') from exc
    return parsed


def error_response_body(exc: BriarrillError) -> dict[str, Any]:
    """Return the JSON object of an error response."""
    return {
        'error': {
            'message': exc.message,
            'type': type(exc).__name__,
            'code': int(exc.code),
            'ran': exc.ran.value,
        }
    }


def result_line(
    custom_id: str, http_status: int, body: bytes, error: str, code: int
) -> bytes:
    """Encode one line of a batch result file.

    :param body: JSON response body, empty for an item that failed.
    :param error: error message, used if the body is empty.
    :param code: result code, used if the body is empty.
    """
    response = None
    failure = None
    if body:
        response = {'status_code': http_status, 'body': msgspec.Raw(body)}
    else:
        failure = {'code': code, 'message': error}
    line = {'custom_id': custom_id, 'response': response, 'error': failure}
    return b'%b\n' % msgspec.json.encode(line)
