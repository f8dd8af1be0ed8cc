"""briarrill.transport.http_messages: start lines and headers of HTTP/1.1."""

import enum
import re
from collections.abc import Mapping

import attrs
import h11

__all__ = (
    'BodyFraming',
    'Headers',
    'RequestHead',
    'ResponseHead',
    'check_request',
    'end_to_end_headers',
    'find_header',
    'holds_status_line',
    'is_valid_status',
)

#: Pairs of name and value in the order sent; names are in lower case.
Headers = tuple[tuple[bytes, bytes], ...]

# headers that apply to one connection only, RFC 9110 section 7.6.1
_HOP_BY_HOP = frozenset(
    (
        b'connection',
        b'expect',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
    )
)


_CONTENT_LENGTH = b'content-length'

# headers that a sender must not list in Connection
_REQUIRED = frozenset((b'host', _CONTENT_LENGTH))

# a status line up to its reason
_STATUS_LINE = re.compile(rb'HTTP/\d\.\d \d{3}(?!\d)')

# first and last valid status
_FIRST_STATUS = 100
_LAST_STATUS = 599

# character set of targets and headers
_CHARSET = 'latin-1'


@attrs.frozen
class RequestHead:
    """Method, target and headers of a request.

    :param target: path and query string, still percent-encoded.
    """

    method: bytes
    target: bytes
    headers: Headers

    @property
    def path(self) -> str:
        """Return the path, still percent-encoded."""
        return self.target.partition(b'?')[0].decode(_CHARSET)


class BodyFraming(enum.Enum):
    """How the end of a response body is marked, RFC 9112 section 6.3.

    CLOSE: the connection closes, so a body that was cut looks whole.
    """

    LENGTH = 'length'
    CHUNKED = 'chunked'
    CLOSE = 'close'


@attrs.frozen
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: Headers

    @property
    def body_framing(self) -> BodyFraming:
        """Return the framing of a response that may have a body."""
        if find_header(self.headers, b'transfer-encoding') is not None:
            return BodyFraming.CHUNKED
        if find_header(self.headers, _CONTENT_LENGTH) is not None:
            return BodyFraming.LENGTH
        return BodyFraming.CLOSE

    @property
    def is_end_marked(self) -> bool:
        """Whether more than the close of the connection ends the body."""
        return self.body_framing is not BodyFraming.CLOSE

    def without_length(self) -> 'ResponseHead':
        """Return the head of a response whose length is unknown."""
        return attrs.evolve(
            self,
            headers=tuple(
                pair for pair in self.headers if pair[0] != _CONTENT_LENGTH
            ),
        )


def check_request(target: str, headers: Mapping[str, str]) -> None:
    """Check that a request can be sent.

    :raises ValueError: the target or a header has characters that HTTP/1.1
        does not allow there.
    """
    if '' in headers:
        raise ValueError('a header has no name')
    encoded = tuple(
        (name.lower().encode(_CHARSET), text.encode(_CHARSET))
        for name, text in headers.items()
    )
    sent = end_to_end_headers(encoded, _REQUIRED)
    try:
        h11.Request(
            method=b'POST',
            target=target.encode(_CHARSET),
            headers=[(b'host', b'h'), *sent],
        )
    except h11.LocalProtocolError as exc:
        raise ValueError(str(exc)) from exc


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or None if it is absent.

    :param name: in lower case.
    """
    for header_name, content in headers:
        if header_name == name:
            return content
    return None


def holds_status_line(reason: bytes, headers: Headers) -> bool:
    """Tell whether a response head goes on with the head of another.

    A server that breaks off inside a head may write a second response, whose
    status line then looks like the rest of the line that was cut.
    """
    texts = (reason, *(text for _, text in headers))
    return any(_STATUS_LINE.search(text) for text in texts)


def is_valid_status(status: int) -> bool:
    """Tell whether a status is valid, RFC 9110 section 15."""
    return _FIRST_STATUS <= status <= _LAST_STATUS


def end_to_end_headers(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    """Return the end-to-end headers, which a proxy forwards.

    Hop-by-hop headers and those listed in ``Connection`` are removed, but for
    those without which the message cannot be sent.

    :param dropped: lower-case names of further headers to remove, such as
        those that the proxy sets itself.
    """
    listed = find_header(headers, b'connection') or b''
    connection_headers = {name.strip().lower() for name in listed.split(b',')}
    excluded = _HOP_BY_HOP | (connection_headers - _REQUIRED) | dropped
    return tuple(pair for pair in headers if pair[0] not in excluded)
