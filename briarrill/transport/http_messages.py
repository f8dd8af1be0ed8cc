"""briarrill.transport.http_messages: heads of HTTP/1.1 messages as bytes."""

import attrs

__all__ = (
    'AnswerHead',
    'Headers',
    'RequestHead',
    'end_to_end',
    'find_header',
)

#: Names in lower case, in the order in which they were sent.
Headers = tuple[tuple[bytes, bytes], ...]

# headers that concern one connection only, RFC 9110 section 7.6.1
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


@attrs.frozen
class RequestHead:
    """A request without its body.

    :param target: path and query as they were sent.
    """

    method: bytes
    target: bytes
    headers: Headers

    @property
    def path(self) -> str:
        """Return the path, not decoded."""
        return self.target.partition(b'?')[0].decode('latin-1')


@attrs.frozen
class AnswerHead:
    """An answer without its body."""

    status: int
    headers: Headers


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header, or nothing.

    :param name: in lower case.
    """
    for found, content in headers:
        if found == name:
            return content
    return None


def end_to_end(headers: Headers, dropped: frozenset[bytes]) -> Headers:
    """Return the headers that are forwarded.

    :param dropped: names that the caller of this function sets itself.
    """
    named = find_header(headers, b'connection') or b''
    listed = {name.strip().lower() for name in named.split(b',')}
    left_out = _HOP_BY_HOP | listed | dropped
    return tuple(pair for pair in headers if pair[0] not in left_out)
