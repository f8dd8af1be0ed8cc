"""briarrill.transport.instance_list: client of the instance list."""

import enum

import attrs
import httpx

from ..decoding import json_decoder
from ..errors import MalformedMessageError, PlatformUnavailableError
from .bounded_http import request

__all__ = ('Instance', 'InstanceList', 'InstanceState', 'Role')

CALL_TIMEOUT_S = 2.0

# an instance takes some hundred bytes
MAX_REPLY_BYTES = 16_000_000


class Role(enum.StrEnum):
    """Kind of process that runs on an instance."""

    ENTRY = 'entry'
    BATCH = 'batch'
    UPSTREAM = 'upstream'


class InstanceState(enum.StrEnum):
    """State that the platform reports for an instance."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen
class Instance:
    """A machine of the fleet.

    :param pool: group of interchangeable upstreams, empty for instances of
        other roles.
    """

    name: str
    host: str
    failure_domain: str
    region: str
    roles: tuple[Role, ...]
    pool: str = ''
    state: InstanceState = InstanceState.LIVE


_INSTANCES_DECODER = json_decoder(tuple[Instance, ...])


class InstanceList:
    """Client of the instance list, which lags behind the real instances.

    :param client: HTTP client whose base URL is the list service.
    """

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Store the client; the caller closes it."""
        self._client = client
        self._etag = ''
        self._instances: tuple[Instance, ...] = ()

    async def fetch(self) -> tuple[Instance, ...]:
        """Return all instances; an unchanged list is not transferred again.

        :raises PlatformUnavailableError: the list service did not respond, or
            its response cannot be decoded.
        """
        request_headers = {'If-None-Match': self._etag} if self._etag else {}
        try:
            reply = await request(
                self._client,
                'GET',
                '/instances',
                headers=request_headers,
                timeout_s=CALL_TIMEOUT_S,
                max_bytes=MAX_REPLY_BYTES,
            )
            if reply.status_code != httpx.codes.NOT_MODIFIED:
                self._store_reply(reply.raise_for_status())
        except (httpx.HTTPError, MalformedMessageError) as exc:
            raise PlatformUnavailableError(f'instance list: {exc!r}') from exc
        return self._instances

    def _store_reply(self, reply: httpx.Response) -> None:
        """Store the instances and the entity tag of a reply."""
        self._instances = _INSTANCES_DECODER.decode(reply.content)
        self._etag = reply.headers.get('ETag', '')
