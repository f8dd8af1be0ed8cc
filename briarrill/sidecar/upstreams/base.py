"""briarrill.sidecar.upstreams.base: the interface of an upstream."""

import abc
import contextlib
from collections.abc import AsyncIterator
from typing import Any

import attrs
import httpx

from ...errors import (
    BadRequestError,
    OverloadedError,
    UpstreamFailedError,
)
from ...result_codes import Ran
from ...transport.bounded_http import check_head

__all__ = (
    'Upstream',
    'UpstreamRequest',
    'UpstreamResponse',
    'has_framed_body',
)

HTTP_BAD_REQUEST = 400
HTTP_TOO_MANY_REQUESTS = 429
HTTP_SERVER_ERROR = 500

# events of httpx's trace extension
_FAILED_SEND_EVENTS = frozenset(
    (
        'http11.send_request_headers.failed',
        'http11.send_request_body.failed',
    )
)

# a late copy of a response has no identifier, so the next request on the same
# connection would get it
ONE_REQUEST = {'connection': 'close'}

# part of an upstream's error body that is shown to the caller
MAX_ERROR_BODY_BYTES = 500

OVERLOADED_RETRY_AFTER_S = 1.0


@attrs.frozen
class UpstreamRequest:
    """An HTTP request to the upstream."""

    method: str
    path: str
    body: bytes
    content_type: str = 'application/json'


@attrs.define
class _SendObserver:
    """Records whether the connection failed while a request was sent.

    The HTTP client then still reads a response, without the error.
    """

    has_failed: bool = False

    async def trace(self, event_name: str, _details: Any) -> None:
        """Receive an event of the HTTP client's trace extension."""
        if event_name in _FAILED_SEND_EVENTS:
            self.has_failed = True


@attrs.define
class UpstreamResponse:
    """An HTTP response of the upstream.

    :param chunks: parts of the body as they arrive.
    :param tokens: tokens generated so far.
    """

    http_status: int
    content_type: str
    chunks: AsyncIterator[bytes]
    tokens: int = 0


async def _read_error_body(response: UpstreamResponse) -> str:
    """Read the part of an error body that is shown to the caller.

    Its status counts also if the body is cut.
    """
    shown = b''
    with contextlib.suppress(httpx.HTTPError):
        async for chunk in response.chunks:
            shown += chunk
            if len(shown) >= MAX_ERROR_BODY_BYTES:
                break
    return shown[:MAX_ERROR_BODY_BYTES].decode(errors='replace').strip()


def has_framed_body(http_response: httpx.Response) -> bool:
    """Whether a length or chunks, not a close, end the response's body."""
    headers = http_response.headers
    return 'content-length' in headers or 'transfer-encoding' in headers


class Upstream(abc.ABC):
    """The model engine or service that a sidecar sends requests to.

    :param client: HTTP client whose base URL is the upstream's.
    """

    kind = ''

    #: whether a response with an error status is relayed unchanged
    relays_errors = True

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Keep the client; the caller closes it."""
        self.client = client

    @abc.abstractmethod
    async def fetch_models(self) -> tuple[str, ...]:
        """Return the models that the upstream serves now."""

    async def raise_for_error(self, response: UpstreamResponse) -> None:
        """Raise for a response with an error status that isn't relayed.

        :raises OverloadedError: the status is 429.
        :raises BadRequestError: the status is any other from 400 to 499.
        :raises UpstreamFailedError: the status is 500 or above.
        """
        status = response.http_status
        if self.relays_errors or status < HTTP_BAD_REQUEST:
            return
        error_body = await _read_error_body(response)
        message = f'the upstream responded with {status}: {error_body}'
        if status == HTTP_TOO_MANY_REQUESTS:
            raise OverloadedError(
                message, retry_after_s=OVERLOADED_RETRY_AFTER_S
            )
        if status < HTTP_SERVER_ERROR:
            raise BadRequestError(message)
        raise UpstreamFailedError(message, ran=Ran.UNKNOWN)

    @abc.abstractmethod
    def iter_chunks(
        self, http_response: httpx.Response
    ) -> AsyncIterator[bytes]:
        """Split a response's body into chunks that may be relayed alone.

        :raises httpx.HTTPError: the body was cut.
        """

    @contextlib.asynccontextmanager
    async def send(
        self, req: UpstreamRequest
    ) -> AsyncIterator[UpstreamResponse]:
        """Send a request; leaving the context cancels it.

        :raises BadRequestError: the request cannot be sent over HTTP.
        :raises httpx.HTTPError: the upstream failed.
        """
        observer = _SendObserver()
        http_req = self._build_request(req)
        http_req.extensions['trace'] = observer.trace
        http_response = await self.client.send(http_req, stream=True)
        try:
            check_head(http_response)
            yield UpstreamResponse(
                http_status=http_response.status_code,
                content_type=http_response.headers.get('content-type', ''),
                chunks=self._checked_chunks(http_response, observer),
            )
        finally:
            await http_response.aclose()

    async def _checked_chunks(
        self, http_response: httpx.Response, observer: _SendObserver
    ) -> AsyncIterator[bytes]:
        """Yield the chunks; a reset does not end an unframed body.

        :raises httpx.HTTPError: the body was cut.
        """
        async for chunk in self.iter_chunks(http_response):
            yield chunk
        if observer.has_failed and not has_framed_body(http_response):
            raise httpx.RemoteProtocolError(
                'the connection was reset while the request was sent'
            )

    def _build_request(self, req: UpstreamRequest) -> httpx.Request:
        """Build the HTTP request.

        :raises BadRequestError: its path or content type is not valid in HTTP.
        """
        try:
            return self.client.build_request(
                req.method,
                req.path,
                content=req.body,
                headers={'content-type': req.content_type, **ONE_REQUEST},
            )
        except (httpx.InvalidURL, UnicodeError) as exc:
            raise BadRequestError(
                f'the request cannot be sent over HTTP: {exc}'
            ) from exc
