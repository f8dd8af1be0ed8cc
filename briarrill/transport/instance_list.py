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

    async def fetch(self) -> tuple[Instance, ...]:
        """Return all instances.

        :raises PlatformUnavailableError: the list did not answer.
        """
        try:
            reply = await self._client.get(
                '/instances', timeout=CALL_TIMEOUT_S
            )
            reply.raise_for_status()
            return msgspec.json.decode(
                reply.content, type=tuple[Instance, ...]
            )
        except (httpx.HTTPError, msgspec.MsgspecError) as exc:
            raise PlatformUnavailableError(f'instance list: {exc!r}') from exc
