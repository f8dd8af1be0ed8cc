"""briarrill.transport.etcd: the key-value service over etcd v3 JSON."""

import base64
import json
from collections.abc import AsyncIterator
from typing import Any

import httpx

from ..errors import PlatformUnavailableError, WriteUnknownError
from .key_value import KeyValue, KeyValueService, WatchEvent

__all__ = ('EtcdService', 'prefix_end')

CALL_TIMEOUT_S = 2.0

# a write whose reply was lost is repeated: the comparison lets it take
# effect once, and a delayed first one can't overtake it
WRITE_ATTEMPTS = 3

# what a caller should wait before it asks again
OUTAGE_RETRY_AFTER_S = 5.0


def prefix_end(prefix: str) -> bytes:
    """Return the first key after all keys with this prefix."""
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


def _b64(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _key_value(fields: dict[str, Any]) -> KeyValue:
    return KeyValue(
        key=base64.b64decode(fields['key']).decode(),
        body=base64.b64decode(fields.get('value', '')),
        mod_revision=int(fields['mod_revision']),
    )


def _watch_event(fields: dict[str, Any]) -> WatchEvent:
    found = _key_value(fields['kv'])
    deleted = fields.get('type') == 'DELETE'
    return WatchEvent(
        key=found.key,
        body=None if deleted else found.body,
        mod_revision=found.mod_revision,
    )


class EtcdService(KeyValueService):
    """The etcd v3 JSON gateway as key-value service.

    :param client: HTTP client whose base URL is the service.
    """

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Keep the client; the caller closes it."""
        self._client = client

    async def read(self, key: str) -> KeyValue | None:
        """Return the key, or nothing."""
        found = await self._range({'key': _b64(key.encode())})
        return found[0] if found else None

    async def read_prefix(
        self, prefix: str, *, after: str = '', limit: int = 0
    ) -> list[KeyValue]:
        """Return the keys under a prefix in order."""
        start = f'{after}\0' if after else prefix
        return await self._range(
            {
                'key': _b64(start.encode()),
                'range_end': _b64(prefix_end(prefix)),
                'limit': limit,
            }
        )

    async def compare_and_swap(
        self,
        key: str,
        body: bytes,
        *,
        mod_revision: int,
        lease_id: int = 0,
    ) -> int | None:
        """Write the key if its revision is unchanged."""
        put = {
            'key': _b64(key.encode()),
            'value': _b64(body),
            'lease': lease_id,
        }
        return await self._write_once(key, body, mod_revision, put)

    async def delete(self, key: str, *, mod_revision: int) -> bool:
        """Delete the key if its revision is unchanged."""
        erase = {'request_delete_range': {'key': _b64(key.encode())}}
        try:
            reply = await self._txn(key, mod_revision, erase)
        except httpx.HTTPError as exc:
            raise _unavailable(exc) from exc
        return bool(reply.get('succeeded'))

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its identifier."""
        reply = await self._post('/v3/lease/grant', {'TTL': ttl_s, 'ID': 0})
        return int(reply['ID'])

    async def keep_lease_alive(self, lease_id: int) -> int:
        """Renew a lease and return its time to live, 0 when it is gone."""
        reply = await self._post('/v3/lease/keepalive', {'ID': lease_id})
        return int(reply['result'].get('TTL', 0))

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        await self._post('/v3/lease/revoke', {'ID': lease_id})

    async def watch(self, prefix: str) -> AsyncIterator[WatchEvent]:
        """Follow changes under a prefix from now on."""
        create = {
            'create_request': {
                'key': _b64(prefix.encode()),
                'range_end': _b64(prefix_end(prefix)),
            }
        }
        try:
            async for line in self._stream_lines('/v3/watch', create):
                for fields in json.loads(line)['result'].get('events', ()):
                    yield _watch_event(fields)
        except httpx.HTTPError as exc:
            raise _unavailable(exc) from exc
        raise PlatformUnavailableError('the watch ended')

    async def _stream_lines(
        self, path: str, body: dict[str, Any]
    ) -> AsyncIterator[str]:
        timeout = httpx.Timeout(CALL_TIMEOUT_S, read=None)
        async with self._client.stream(
            'POST', path, json=body, timeout=timeout
        ) as reply:
            reply.raise_for_status()
            async for line in reply.aiter_lines():
                yield line

    async def _range(self, body: dict[str, Any]) -> list[KeyValue]:
        reply = await self._post('/v3/kv/range', body)
        return [_key_value(fields) for fields in reply.get('kvs', ())]

    async def _txn(
        self, key: str, mod_revision: int, success: dict[str, Any]
    ) -> dict[str, Any]:
        compare = {
            'key': _b64(key.encode()),
            'target': 'MOD',
            'result': 'EQUAL',
            'mod_revision': mod_revision,
        }
        return await self._post_unguarded(
            '/v3/kv/txn', {'compare': [compare], 'success': [success]}
        )

    async def _write_once(
        self, key: str, body: bytes, mod_revision: int, put: dict[str, Any]
    ) -> int | None:
        """Repeat a write whose reply was lost until its effect is known."""
        lost_reply: Exception | None = None
        for _ in range(WRITE_ATTEMPTS):
            try:
                reply = await self._txn(
                    key, mod_revision, {'request_put': put}
                )
            except httpx.HTTPError as exc:
                lost_reply = lost_reply or _unless_never_sent(exc)
                continue
            if reply.get('succeeded'):
                return int(reply['header']['revision'])
            return await self._resolve_conflict(key, body, lost_reply)
        raise WriteUnknownError(
            f'reply to the write of {key} was lost: {lost_reply!r}',
            retry_after_s=OUTAGE_RETRY_AFTER_S,
        )

    async def _resolve_conflict(
        self, key: str, body: bytes, lost_reply: Exception | None
    ) -> int | None:
        """Tell another writer's change from our own whose reply was lost.

        The bodies of two writers always differ.
        """
        if lost_reply is None:
            return None
        try:
            found = await self.read(key)
        except PlatformUnavailableError as exc:
            raise WriteUnknownError(
                f'reply to the write of {key} was lost: {lost_reply!r}',
                retry_after_s=OUTAGE_RETRY_AFTER_S,
            ) from exc
        if found is not None and found.body == body:
            return found.mod_revision
        return None

    async def _post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        try:
            return await self._post_unguarded(path, body)
        except httpx.HTTPError as exc:
            raise _unavailable(exc) from exc

    async def _post_unguarded(
        self, path: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        reply = await self._client.post(
            path, json=body, timeout=CALL_TIMEOUT_S
        )
        reply.raise_for_status()
        decoded: dict[str, Any] = reply.json()
        return decoded


def _unless_never_sent(exc: httpx.HTTPError) -> httpx.HTTPError:
    """Return the error of a write that may have taken effect.

    :raises PlatformUnavailableError: the write was certainly not sent.
    """
    if isinstance(exc, (httpx.ConnectError, httpx.ConnectTimeout)):
        raise _unavailable(exc) from exc
    return exc


def _unavailable(exc: Exception) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f'key-value service: {exc!r}', retry_after_s=OUTAGE_RETRY_AFTER_S
    )
