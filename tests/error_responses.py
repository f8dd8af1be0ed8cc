"""Responses to a resumption that are no continuation of its stream."""

import itertools

from briarrill.transport.http_messages import BodyFraming
from tests.repeating_engine import MARK, encode_message

TEXT = b'server error'
HEAD = b'HTTP/1.1 500 Server Error\r\ncontent-type: text/plain\r\n\r\n'
STREAM_TYPE = b'content-type: text/event-stream'

_STATUSES = (400, 401, 404, 408, 409, 413, 421, 422, 429, 431)
_SERVER_ERRORS = (500, 502, 503, 504)
_BODIES = (TEXT, b'id: 3\ndata: %b\n\n' % TEXT, HEAD + TEXT)
_TYPES = ((), (STREAM_TYPE,))
_MARKS = ((), (MARK,))


def error_statuses() -> list[bytes]:
    """Return responses with error statuses in all framings."""
    return [
        encode_message(status, body, framing, (*content_type, *mark))
        for status, body, framing, content_type, mark in itertools.product(
            (*_STATUSES, *_SERVER_ERRORS),
            _BODIES,
            BodyFraming,
            _TYPES,
            _MARKS,
        )
    ]


def framed(body: bytes, *lines: bytes) -> list[bytes]:
    """Return successful responses with a body in all framings."""
    return [encode_message(200, body, way, lines) for way in BodyFraming]


#: Responses with status 200, by what is wrong with them.
SUCCESSES = {
    'head in the body': framed(HEAD, STREAM_TYPE),
    'head and text in the body': framed(HEAD + TEXT, STREAM_TYPE),
    'head and line in the body': framed(HEAD + TEXT + b'\n\n', STREAM_TYPE),
    'head with line feeds': framed(HEAD.replace(b'\r', b''), STREAM_TYPE),
    'head before an event': framed(
        HEAD.replace(b'\r\n\r\n', b'\nid: 3\ndata: word-3\n\n')
    ),
    'text in the body': framed(TEXT + b'\n\n', STREAM_TYPE),
    'JSON': framed(b'{"error": "%b"}\n\n' % TEXT, b'content-type: a/json'),
    'page': framed(b'<p>%b</p>\n\n' % TEXT, b'content-type: text/html'),
    'event of a page': framed(
        b'id: 3\ndata: %b\n\n' % TEXT, b'content-type: text/html'
    ),
    'empty page': framed(b'', b'content-type: text/html'),
}

#: Bytes that are no response, or two.
NO_RESPONSES = (
    b'',
    TEXT,
    TEXT + b'\r\n\r\n',
    HEAD[: len(HEAD) // 2],
    HEAD + HEAD,
    HEAD + HEAD + TEXT,
    HEAD[:-2] + HEAD + TEXT,
    b'data: %b\n\n' % TEXT,
)
