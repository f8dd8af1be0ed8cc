"""briarrill.transport.instance_list: the platform's list of instances."""

import enum

import attrs
import httpx
import msgspec

from ..errors import PlatformUnavailableError

__all__ = ('Instance', 'InstanceList', 'InstanceState', 'Role')

CALL_TIMEOUT_S = 2.0


class Role(enum.StrEnum):
    """What runs on an instance."""

    ENTRY = 'entry'
    BATCH = 'batch'
    UPSTREAM = 'upstream'


class InstanceState(enum.StrEnum):
    """What the platform knows of an instance."""

    LIVE = 'live'
    LEAVING = 'leaving'


@attrs.frozen
class Instance:
    """A machine of the fleet.

    :param pool: group of interchangeable upstreams, empty for the others.
    """

    name: str
    host: str
    failure_domain: str
    region: str
    roles: tuple[Role, ...]
    pool: str = ''
    state: InstanceState = InstanceState.LIVE


class InstanceList:
    """Client of the instance list; what it returns lags.

    :param client: HTTP client whose base URL is the list's.
    """

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Keep the client; the caller closes it."""
        self._client = client
        self._tag = ''
        self._instances: tuple[Instance, ...] = ()

    async def fetch(self) -> tuple[Instance, ...]:
        """Return all instances; an unchanged list is not sent again.

        :raises PlatformUnavailableError: the list did not answer.
        """
        known = {'If-None-Match': self._tag} if self._tag else {}
        try:
            reply = await self._client.get(
                '/instances', headers=known, timeout=CALL_TIMEOUT_S
            )
            if reply.status_code != httpx.codes.NOT_MODIFIED:
                self._take(reply.raise_for_status())
        except (httpx.HTTPError, msgspec.MsgspecError) as exc:
            raise PlatformUnavailableError(f'instance list: {exc!r}') from exc
        return self._instances

    def _take(self, reply: httpx.Response) -> None:
        self._instances = msgspec.json.decode(
            reply.content, type=tuple[Instance, ...]
        )
        self._tag = reply.headers.get('ETag', '')
