"""briarrill.transport.etcd: the key-value service over etcd v3 JSON."""

import base64
import json
from collections.abc import AsyncIterator, Sequence
from typing import Any

import httpx

from ..errors import PlatformUnavailableError, WriteUnknownError
from ..metrics import KEY_VALUE_CALLS
from .key_value import (
    KeyChange,
    KeyPosition,
    KeySnapshot,
    KeyValue,
    KeyValueService,
    WatchEvent,
)

__all__ = ('EtcdService', 'prefix_end')

CALL_TIMEOUT_S = 2.0

# a write whose reply was lost is repeated: the comparison lets it take
# effect once, and a delayed first one can't overtake it
WRITE_ATTEMPTS = 3

# errors of the service that it gives before it takes a write; after others,
# such as a timeout or a change of its leader, the write may take effect
REFUSALS = (
    'etcdserver: no leader',
    'etcdserver: too many requests',
    'transport: Error while dialing',
)
NEVER_SENT = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)

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

    async def transact(self, changes: Sequence[KeyChange]) -> int | None:
        """Make all changes, or none if a revision is another one."""
        txn = _txn(changes)
        lost: Exception | None = None
        for _ in range(WRITE_ATTEMPTS):
            try:
                reply = await self._post_unguarded('/v3/kv/txn', txn)
            except (httpx.HTTPError, ValueError) as exc:
                lost = _lost_reply(exc, lost)
                continue
            if reply.get('succeeded'):
                return int(reply['header']['revision'])
            return await self._resolve_conflict(changes[0], lost)
        raise _write_unknown(changes[0], lost)

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

    async def follow(
        self, prefix: str, pace_s: float = 0, after: int = 0
    ) -> AsyncIterator[KeySnapshot | WatchEvent | KeyPosition]:
        """Yield all keys under a prefix at once, then each change."""
        create = {
            'create_request': {
                'key': _b64(prefix.encode()),
                'range_end': _b64(prefix_end(prefix)),
            }
        }
        try:
            KEY_VALUE_CALLS.labels('watch').inc()
            async for line in self._stream_lines('/v3/watch', create):
                for change in await self._changes(json.loads(line), prefix):
                    yield change
        except (httpx.HTTPError, ValueError) as exc:
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

    async def _changes(
        self, message: dict[str, Any], prefix: str
    ) -> Sequence[KeySnapshot | WatchEvent]:
        """Return the changes of a message of a watch.

        The first message says that the watch runs; the keys are read after
        it, so that no change falls between the two.
        """
        reply = message['result']
        if reply.get('created'):
            return [KeySnapshot(tuple(await self.read_prefix(prefix)))]
        return [_watch_event(fields) for fields in reply.get('events', ())]

    async def _resolve_conflict(
        self, change: KeyChange, lost: Exception | None
    ) -> int | None:
        """Tell another writer's change from our own whose reply was lost."""
        if lost is None:
            return None
        try:
            return await self.find_own_write(change)
        except PlatformUnavailableError as exc:
            raise _write_unknown(change, lost) from exc

    async def _post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        try:
            return await self._post_unguarded(path, body)
        except (httpx.HTTPError, ValueError) as exc:
            raise _unavailable(exc) from exc

    async def _post_unguarded(
        self, path: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        KEY_VALUE_CALLS.labels(path.removeprefix('/v3/')).inc()
        reply = await self._client.post(
            path, json=body, timeout=CALL_TIMEOUT_S
        )
        reply.raise_for_status()
        decoded: dict[str, Any] = reply.json()
        return decoded


def _txn(changes: Sequence[KeyChange]) -> dict[str, Any]:
    """Return the body of a transaction."""
    compared = [
        change for change in changes if change.mod_revision is not None
    ]
    return {
        'compare': [_comparison(change) for change in compared],
        'success': [_operation(change) for change in changes],
    }


def _comparison(change: KeyChange) -> dict[str, Any]:
    return {
        'key': _b64(change.key.encode()),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': change.mod_revision,
    }


def _operation(change: KeyChange) -> dict[str, Any]:
    key = _b64(change.key.encode())
    if change.body is None:
        return {'request_delete_range': {'key': key}}
    put = {'key': key, 'value': _b64(change.body), 'lease': change.lease_id}
    return {'request_put': put}


def _lost_reply(exc: Exception, earlier: Exception | None) -> Exception:
    """Return the first error after which the write may have taken effect.

    :raises PlatformUnavailableError: no attempt was taken by the service.
    """
    if earlier is not None:
        return earlier
    if _is_refusal(exc):
        raise _unavailable(exc) from exc
    return exc


def _is_refusal(exc: Exception) -> bool:
    """Tell whether a failed call certainly had no effect."""
    if isinstance(exc, httpx.HTTPStatusError):
        refused = exc.response.is_client_error
        return refused or any(map(exc.response.text.count, REFUSALS))
    return isinstance(exc, NEVER_SENT)


def _write_unknown(
    change: KeyChange, lost: Exception | None
) -> WriteUnknownError:
    return WriteUnknownError(
        f'reply to the write of {change.key} was lost: {lost!r}',
        retry_after_s=OUTAGE_RETRY_AFTER_S,
    )


def _unavailable(exc: Exception) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f'key-value service: {exc!r}', retry_after_s=OUTAGE_RETRY_AFTER_S
    )
