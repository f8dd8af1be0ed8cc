"""briarrill.sidecar.upstreams.base: the contract of an upstream."""

import abc
import contextlib
from collections.abc import AsyncIterator

import attrs
import httpx

from ...errors import (
    BadRequestError,
    OverloadedError,
    UpstreamFailedError,
)
from ...result_codes import Ran

__all__ = ('Answer', 'Call', 'Upstream')

HTTP_BAD_REQUEST = 400
HTTP_TOO_MANY = 429
HTTP_SERVER_ERROR = 500

# of an upstream's error, shown to the caller
MAX_REASON_BYTES = 500

RETRY_AFTER_S = 1.0


@attrs.frozen
class Call:
    """A request as the upstream gets it."""

    method: str
    path: str
    body: bytes
    content_type: str = 'application/json'


@attrs.define
class Answer:
    """An upstream's answer.

    :param chunks: parts of the body as they arrive.
    :param tokens: tokens generated so far.
    """

    http_status: int
    content_type: str
    chunks: AsyncIterator[bytes]
    tokens: int = 0


class Upstream(abc.ABC):
    """What a sidecar stands beside.

    :param client: HTTP client whose base URL is the upstream's.
    """

    kind = ''

    #: whether an answer with an error status goes to the caller as it is
    relays_errors = True

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Keep the client; the caller closes it."""
        self.client = client

    @abc.abstractmethod
    async def fetch_models(self) -> tuple[str, ...]:
        """Return the models that the upstream serves now."""

    async def check(self, answer: Answer) -> None:
        """Turn an error that must not be relayed into one of ours.

        :raises BriarrillError: what the caller gets instead of the answer.
        """
        status = answer.http_status
        if self.relays_errors or status < HTTP_BAD_REQUEST:
            return
        parts = [chunk async for chunk in answer.chunks]
        reason = b''.join(parts)[:MAX_REASON_BYTES].decode(errors='replace')
        message = f'the upstream answered {status}: {reason.strip()}'
        if status == HTTP_TOO_MANY:
            raise OverloadedError(message, retry_after_s=RETRY_AFTER_S)
        if status < HTTP_SERVER_ERROR:
            raise BadRequestError(message)
        raise UpstreamFailedError(message, ran=Ran.UNKNOWN)

    @abc.abstractmethod
    def split(self, reply: httpx.Response) -> AsyncIterator[bytes]:
        """Split an answer's body into chunks that may be relayed alone."""

    @contextlib.asynccontextmanager
    async def open_call(self, call: Call) -> AsyncIterator[Answer]:
        """Send a request; leaving the context stops it.

        :raises BadRequestError: the request cannot be sent over HTTP.
        :raises httpx.HTTPError: the upstream failed.
        """
        reply = await self.client.send(self._build(call), stream=True)
        try:
            yield Answer(
                http_status=reply.status_code,
                content_type=reply.headers.get('content-type', ''),
                chunks=self.split(reply),
            )
        finally:
            await reply.aclose()

    def _build(self, call: Call) -> httpx.Request:
        try:
            return self.client.build_request(
                call.method,
                call.path,
                content=call.body,
                headers={'content-type': call.content_type},
            )
        except (httpx.InvalidURL, UnicodeError) as exc:
            raise BadRequestError(f'not a valid request: {exc}') from exc
