"""standins.key_value: a key-value service with the etcd v3 JSON API.

Keeps all keys in memory. Implements the part of the API that briarrill
uses: range, txn with comparisons of mod_revision, leases and watches.
"""

import base64
import collections
import itertools
import json
import time
from collections.abc import AsyncIterator
from typing import Any

import attrs
import trio
from quart import Response, request
from quart_trio import QuartTrio

from .faults import add_fault_injection

__all__ = ('make_key_value',)

# undelivered events of one watch; one more raises trio.WouldBlock
WATCH_BUFFER = 10_000
LEASE_CHECK_INTERVAL_S = 0.1

# body of the 503 responses while the service is down
DOWN_BODY = json.dumps({'code': 14, 'message': 'etcdserver: no leader'})


def _decode(text: str) -> bytes:
    return base64.b64decode(text)


def _encode(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


@attrs.define
class _Entry:
    body: bytes
    mod_revision: int
    lease: int


@attrs.define
class _Lease:
    ttl_s: int
    expires_at: float


@attrs.define(eq=False)
class _Watch:
    start: bytes
    end: bytes
    sender: trio.MemorySendChannel[dict[str, Any]]


class EtcdStore:
    """Keys, leases and watches; calls take and return JSON objects of etcd.

    :ivar calls: number of calls by path.
    :ivar bytes_written: bytes of the values of all puts.
    """

    def __init__(self) -> None:
        """Start without keys, at revision 0."""
        self.revision = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.bytes_written = 0
        self._entries: dict[bytes, _Entry] = {}
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(1)
        self._watches: set[_Watch] = set()

    def range(self, body: dict[str, Any]) -> dict[str, Any]:
        """Return the entries of a key range in order, up to the limit."""
        start = _decode(body['key'])
        end = _decode(body.get('range_end', '')) or b'%b\0' % start
        keys = sorted(key for key in self._entries if start <= key < end)
        limit = int(body.get('limit', 0)) or len(keys)
        kvs = [self._entry_fields(key) for key in keys[:limit]]
        return {'header': self._header(), 'kvs': kvs, 'count': len(keys)}

    def txn(self, body: dict[str, Any]) -> dict[str, Any]:
        """Compare revisions and apply the success or failure operations."""
        has_matched = all(map(self._condition_holds, body.get('compare', ())))
        branch = 'success' if has_matched else 'failure'
        operations = body.get(branch, ())
        if operations:
            self.revision += 1
        for operation in operations:
            self._apply_operation(operation)
        return {'header': self._header(), 'succeeded': has_matched}

    def grant(self, body: dict[str, Any]) -> dict[str, Any]:
        """Create a lease with the TTL of the request."""
        lease_id = next(self._lease_ids)
        ttl_s = int(body['TTL'])
        self._leases[lease_id] = _Lease(ttl_s, time.monotonic() + ttl_s)
        return {'ID': str(lease_id), 'TTL': str(ttl_s)}

    def keep_alive(self, body: dict[str, Any]) -> dict[str, Any]:
        """Renew a lease; the TTL of an unknown one is 0."""
        lease = self._leases.get(int(body['ID']))
        if lease is None:
            return {'result': {'ID': str(body['ID']), 'TTL': '0'}}
        lease.expires_at = time.monotonic() + lease.ttl_s
        return {'result': {'ID': str(body['ID']), 'TTL': str(lease.ttl_s)}}

    def revoke(self, body: dict[str, Any]) -> dict[str, Any]:
        """Remove a lease and delete its keys."""
        self._end_lease(int(body['ID']))
        return {'header': self._header()}

    async def expire_leases(self) -> None:
        """Remove expired leases with their keys, until cancelled."""
        while True:
            now = time.monotonic()
            for lease_id, lease in list(self._leases.items()):
                if lease.expires_at < now:
                    self._end_lease(lease_id)
            await trio.sleep(LEASE_CHECK_INTERVAL_S)

    async def watch(self, body: dict[str, Any]) -> AsyncIterator[bytes]:
        """Yield a JSON line when watching, then one for each change."""
        create = body['create_request']
        sender, receiver = trio.open_memory_channel[dict[str, Any]](
            WATCH_BUFFER
        )
        watch = _Watch(
            _decode(create['key']), _decode(create['range_end']), sender
        )
        self._watches.add(watch)
        try:
            yield _encode_line({'created': True, 'header': self._header()})
            async for event in receiver:
                yield _encode_line(
                    {'header': self._header(), 'events': [event]}
                )
        finally:
            self._watches.discard(watch)

    def _header(self) -> dict[str, Any]:
        return {'revision': str(self.revision)}

    def _entry_fields(self, key: bytes) -> dict[str, Any]:
        entry = self._entries[key]
        return {
            'key': _encode(key),
            'value': _encode(entry.body),
            'mod_revision': str(entry.mod_revision),
            'lease': str(entry.lease),
        }

    def _condition_holds(self, compare: dict[str, Any]) -> bool:
        entry = self._entries.get(_decode(compare['key']))
        revision = entry.mod_revision if entry else 0
        return revision == int(compare['mod_revision'])

    def _apply_operation(self, operation: dict[str, Any]) -> None:
        if 'request_put' in operation:
            put = operation['request_put']
            body = _decode(put.get('value', ''))
            self.bytes_written += len(body)
            self._put(_decode(put['key']), body, int(put.get('lease', 0)))
        else:
            deletion = operation['request_delete_range']
            self._delete(_decode(deletion['key']))

    def _put(self, key: bytes, body: bytes, lease: int) -> None:
        self._entries[key] = _Entry(body, self.revision, lease)
        self._notify(key, {'type': 'PUT', 'kv': self._entry_fields(key)})

    def _delete(self, key: bytes) -> None:
        if self._entries.pop(key, None) is None:
            return
        fields = {'key': _encode(key), 'mod_revision': str(self.revision)}
        self._notify(key, {'type': 'DELETE', 'kv': fields})

    def _notify(self, key: bytes, event: dict[str, Any]) -> None:
        for watch in self._watches:
            if watch.start <= key < watch.end:
                watch.sender.send_nowait(event)

    def _end_lease(self, lease_id: int) -> None:
        if self._leases.pop(lease_id, None) is None:
            return
        self.revision += 1
        leased_keys = [
            key
            for key, entry in self._entries.items()
            if entry.lease == lease_id
        ]
        for key in leased_keys:
            self._delete(key)


def _encode_line(message: dict[str, Any]) -> bytes:
    return f'{json.dumps({"result": message})}\n'.encode()


def make_key_value() -> QuartTrio:
    """Return the HTTP application, with an empty store."""
    app = QuartTrio('key-value')
    store = EtcdStore()
    add_fault_injection(app, DOWN_BODY)
    handlers = {
        'kv/range': store.range,
        'kv/txn': store.txn,
        'lease/grant': store.grant,
        'lease/keepalive': store.keep_alive,
        'lease/revoke': store.revoke,
    }

    @app.before_serving
    async def start() -> None:
        app.nursery.start_soon(store.expire_leases)

    @app.post('/v3/watch')
    async def watch() -> Response:
        store.calls['watch'] += 1
        body = json.loads(await request.get_data())
        return Response(store.watch(body), content_type='application/json')

    @app.post('/v3/<path:call>')
    async def call_store(call: str) -> dict[str, Any]:
        store.calls[call] += 1
        return handlers[call](json.loads(await request.get_data()))

    @app.get('/counts')
    async def counts() -> dict[str, Any]:
        return {'calls': store.calls, 'bytes_written': store.bytes_written}

    return app
