"""briarrill.transport.bounded_http: HTTP replies bounded in size and time.

The HTTP client's own timeouts limit the wait for the next bytes only, so a
reply of single bytes or without an end would be read for ever.
"""

import contextlib
import itertools
import math
import time
from collections.abc import AsyncIterator, Iterator
from typing import Any

import httpx
import trio

from ..errors import MalformedMessageError
from .http_messages import holds_status_line, is_valid_status
from .unpacking import Unpacker

__all__ = (
    'check_head',
    'iter_body',
    'iter_lines',
    'open_stream',
    'read_body',
    'request',
)

# parts of a body after which other tasks get their turn; the client waits for
# nothing while parts come from bytes that it has received
PARTS_PER_TURN = 32

# headers that no longer describe a body that was read
_TRANSFER_HEADERS = ('content-encoding', 'content-length', 'transfer-encoding')


async def request(
    client: httpx.AsyncClient,
    method: str,
    path: str,
    *,
    timeout_s: float,
    max_bytes: int,
    **options: Any,
) -> httpx.Response:
    """Make a call and return its whole reply.

    :param options: passed to the client's ``build_request``.
    :raises httpx.HTTPError: the call failed, took longer than ``timeout_s``
        in all, or its reply is over ``max_bytes``.
    """
    http_req = client.build_request(method, path, timeout=timeout_s, **options)
    with _time_limit(timeout_s, http_req):
        async with open_stream(client, http_req) as reply:
            body = await read_body(reply, max_bytes)
    headers = [
        (name, text)
        for name, text in reply.headers.items()
        if name not in _TRANSFER_HEADERS
    ]
    return httpx.Response(
        reply.status_code, headers=headers, content=body, request=http_req
    )


@contextlib.asynccontextmanager
async def open_stream(
    client: httpx.AsyncClient,
    http_req: httpx.Request,
    head_timeout_s: float | None = None,
) -> AsyncIterator[httpx.Response]:
    """Send a request; yield the reply once its head was read.

    :param head_timeout_s: limit of the time until then, none by default.
    :raises httpx.HTTPError: the call failed, the head took longer, or it is
        cut and followed by another one.
    """
    with _time_limit(head_timeout_s, http_req):
        reply = await client.send(http_req, stream=True)
    try:
        check_head(reply)
        yield reply
    finally:
        await reply.aclose()


def check_head(reply: httpx.Response) -> None:
    """Check that a reply has one head, with a valid status.

    :raises httpx.RemoteProtocolError: it has that of another reply, too, or
        its status is invalid.
    """
    if not is_valid_status(reply.status_code):
        raise httpx.RemoteProtocolError(
            f'{reply.status_code} is no valid status', request=reply.request
        )
    reason = reply.extensions.get('reason_phrase', b'')
    if holds_status_line(reason, tuple(reply.headers.raw)):
        raise httpx.RemoteProtocolError(
            'a response head was cut and followed by another one',
            request=reply.request,
        )


async def iter_body(reply: httpx.Response) -> AsyncIterator[bytes]:
    """Yield the body of a reply as it arrives, unpacked, in small parts.

    :raises httpx.HTTPError: it was cut, or is not compressed as its head
        says.
    """
    if reply.is_stream_consumed:
        # it was read and unpacked as a whole
        yield reply.content
        return
    unpacker = Unpacker(reply.headers.get('content-encoding', ''))
    turn = itertools.cycle(range(PARTS_PER_TURN))
    try:
        async for packed in reply.aiter_raw():
            for part in unpacker.unpack(packed):
                yield part
                if not next(turn):
                    await trio.lowlevel.checkpoint()
    except MalformedMessageError as exc:
        raise httpx.DecodingError(exc.message, request=reply.request) from exc


async def read_body(reply: httpx.Response, max_bytes: int) -> bytes:
    """Read the whole body of a reply.

    :raises httpx.HTTPError: it was cut, or is over ``max_bytes``.
    """
    body = bytearray()
    async for part in iter_body(reply):
        body += part
        if len(body) > max_bytes:
            raise httpx.RemoteProtocolError(
                f'reply body is over {max_bytes} bytes', request=reply.request
            )
    return bytes(body)


async def iter_lines(
    reply: httpx.Response, max_bytes: int, line_timeout_s: float = math.inf
) -> AsyncIterator[bytes]:
    """Yield the lines of a reply as they arrive, without their ends.

    :param line_timeout_s: time from the first bytes of a line after which no
        more of it is read.
    :raises httpx.HTTPError: the reply was cut, or a line is over
        ``max_bytes`` or its time.
    """
    pending = bytearray()
    began_at = time.monotonic()
    async for part in iter_body(reply):
        *ends, rest = part.split(b'\n')
        for end in ends:
            yield bytes(pending + end)
            pending.clear()
        if not pending:
            began_at = time.monotonic()
        pending += rest
        if len(pending) > max_bytes:
            raise httpx.RemoteProtocolError(
                f'line of a reply is over {max_bytes} bytes',
                request=reply.request,
            )
        _check_line_time(pending, began_at, line_timeout_s, reply)
    if pending:
        yield bytes(pending)


def _check_line_time(
    pending: bytearray,
    began_at: float,
    timeout_s: float,
    reply: httpx.Response,
) -> None:
    """Check that the line in hand has not taken too long.

    :raises httpx.ReadTimeout: it has.
    """
    if pending and time.monotonic() - began_at > timeout_s:
        raise httpx.ReadTimeout(
            f'no whole line within {timeout_s} s', request=reply.request
        )


@contextlib.contextmanager
def _time_limit(
    timeout_s: float | None, http_req: httpx.Request
) -> Iterator[None]:
    """Limit a wait.

    :raises httpx.ReadTimeout: it took longer.
    """
    if timeout_s is None:
        yield
        return
    try:
        with trio.fail_after(timeout_s):
            yield
    except trio.TooSlowError as exc:
        raise httpx.ReadTimeout(
            f'no whole reply within {timeout_s} s', request=http_req
        ) from exc
