"""standins.platform_store: the platform's key-value store, in memory.

Implements the part of the store's HTTP protocol that briarrill uses: keys,
ranges, watches, conditional writes and leases. Attributes inject faults.
"""

import base64
import json
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

import attrs
import trio

from briarrill.transport.http_callers import CallerConnection, CallerLimits

__all__ = ('StandinStore',)

JsonResponse = tuple[int, dict[str, Any]]

#: Tells by its name and fields whether a call is rejected.
RejectsCall = Callable[[str, dict[str, str]], bool]

# entries of one transaction, and bytes of one value
MAX_TRANSACTION_ENTRIES = 32
MAX_VALUE_BYTES = 1_048_576

CALLER_LIMITS = CallerLimits(max_body_bytes=16_000_000)


# responses contain these fields and the key
@attrs.define
class _Entry:
    value: str
    revision: int
    created: int
    lease: int


class StandinStore:
    """In-memory key-value store that serves HTTP connections.

    :ivar calls: first path segment of each received call, in order.
    :ivar error_status: HTTP status of every response; 0 serves the calls.
    :ivar rejects: tells which calls get status 503; default none.
    :ivar lose_replies: number of following transactions that are applied
        while the connection closes without a response.
    :ivar delay_writes: number of following transactions that are queued for
        :meth:`apply_delayed_writes` while the connection closes without a
        response.
    :ivar silent: whether calls are received and never get a response.
    :ivar page_size: maximum number of keys in a response to a range call.
    """

    def __init__(self) -> None:
        """Start without keys and faults."""
        self.revision = 7
        self.entries: dict[str, _Entry] = {}
        self.events: list[dict[str, Any]] = []
        self.calls: list[str] = []
        self.error_status = 0
        self.rejects: RejectsCall = _rejects_none
        self.lose_replies = 0
        self.delay_writes = 0
        self.silent = False
        self.page_size = 500
        self._compacted_revision = 0
        self._changed = trio.Event()
        self._delayed_txns: list[dict[str, Any]] = []
        self._leases: dict[int, float] = {}

    def caller_limits(self) -> CallerLimits:
        """Return the limits of the HTTP server that runs the store."""
        return CALLER_LIMITS

    async def serve(self, conn: CallerConnection) -> None:
        """Serve one connection until it closes or a fault ends it."""
        while (head := await conn.read_request_head()) is not None:
            body = await conn.read_body(head)
            _, _, query = head.target.decode().partition('?')
            fields = {
                name: texts[0] for name, texts in parse_qs(query).items()
            }
            call = head.path.split('/')[1]
            self.calls.append(call)
            if self.silent:
                await trio.sleep_forever()
            status = self.error_status
            if self.rejects(call, fields):
                status = HTTPStatus.SERVICE_UNAVAILABLE
            if status:
                await conn.send_response(status, (), b'{}')
                continue
            argument = head.path.rpartition('/')[2]
            reply = await self._dispatch(call, argument, fields, body)
            if reply is None:
                return
            await conn.send_response(
                reply[0],
                ((b'content-type', b'application/json'),),
                json.dumps(reply[1]).encode(),
            )

    def put(self, key: str, body: bytes, lease: int = 0) -> None:
        """Write a key without conditions and notify the watches.

        :param lease: lease that the key is deleted with, 0 for none.
        """
        self.revision += 1
        existing = self.entries.get(key)
        created = existing.created if existing else self.revision
        value = base64.b64encode(body).decode()
        self.entries[key] = _Entry(value, self.revision, created, lease)
        self._publish_event(self._entry_fields(key))

    def remove(self, key: str) -> None:
        """Delete a key and notify the watches; absent keys are ignored."""
        if self.entries.pop(key, None) is None:
            return
        self.revision += 1
        self._publish_event(
            {'key': key, 'revision': self.revision, 'tombstone': True}
        )

    def compact_history(self) -> None:
        """Discard old events: watches from an older revision get 410."""
        self._compacted_revision = self.revision
        self._wake_watches()

    def apply_delayed_writes(self) -> list[JsonResponse]:
        """Apply the queued transactions whose revisions still match."""
        delayed, self._delayed_txns = self._delayed_txns, []
        return [self._apply_txn(txn) for txn in delayed]

    async def _dispatch(
        self, call: str, argument: str, fields: dict[str, str], body: bytes
    ) -> JsonResponse | None:
        if call == 'kv-key':
            return self._read_key(fields['key'])
        if call == 'kv-range':
            return self._read_range(fields)
        if call == 'kv-watch':
            return await self._watch(fields)
        if call == 'kv-txn':
            return self._receive_txn(json.loads(body))
        return self._serve_lease(call, argument, body)

    def _read_key(self, key: str) -> JsonResponse:
        if key not in self.entries:
            return HTTPStatus.NOT_FOUND, {}
        return HTTPStatus.OK, {**self._entry_fields(key), 'at': self.revision}

    def _read_range(self, fields: dict[str, str]) -> JsonResponse:
        after = fields.get('after', '')
        prefix = fields.get('prefix', '')
        keys = sorted(
            key
            for key in self.entries
            if key.startswith(prefix) and key > after
        )
        page = [self._entry_fields(key) for key in keys[: self.page_size]]
        return HTTPStatus.OK, {
            'items': page,
            'has_more': len(keys) > self.page_size,
            'at': self.revision,
        }

    async def _watch(self, fields: dict[str, str]) -> JsonResponse:
        after = int(fields['after'])
        seen_revision = self.revision
        with trio.move_on_after(int(fields['wait_ms']) / 1000):
            while True:
                # a change during the wait may coincide with its end
                seen_revision = self.revision
                if after < self._compacted_revision:
                    return HTTPStatus.GONE, {}
                matching = [
                    event
                    for event in self.events
                    if event['revision'] > after
                    and event['key'].startswith(fields['prefix'])
                ]
                if matching:
                    return HTTPStatus.OK, {
                        'events': matching,
                        'at': self.revision,
                    }
                await self._changed.wait()
        return HTTPStatus.OK, {'events': [], 'at': seen_revision}

    def _receive_txn(self, txn: dict[str, Any]) -> JsonResponse | None:
        if self.delay_writes:
            self.delay_writes -= 1
            self._delayed_txns.append(txn)
            return None
        reply = self._apply_txn(txn)
        if self.lose_replies:
            self.lose_replies -= 1
            return None
        return reply

    def _apply_txn(self, txn: dict[str, Any]) -> JsonResponse:
        if _is_too_large(txn):
            return HTTPStatus.BAD_REQUEST, {}
        for row in txn['expected']:
            existing = self.entries.get(row['key'])
            if row['revision'] != (existing.revision if existing else 0):
                return HTTPStatus.PRECONDITION_FAILED, {'items': []}
        for write in txn['writes']:
            body = base64.b64decode(write['value'])
            self.put(write['key'], body, write['lease'])
        for key in txn['remove']:
            self.remove(key)
        return HTTPStatus.OK, {'revision': self.revision}

    def _serve_lease(
        self, call: str, argument: str, body: bytes
    ) -> JsonResponse:
        if call == 'kv-lease':
            self.revision += 1
            ttl_ms = json.loads(body)['ttl_ms']
            self._leases[self.revision] = time.monotonic() + ttl_ms
            return HTTPStatus.OK, {'lease': self.revision, 'ttl_ms': ttl_ms}
        lease = int(argument)
        if lease not in self._leases:
            return HTTPStatus.NOT_FOUND, {}
        if call == 'kv-lease-end':
            self.end_lease(lease)
        return HTTPStatus.OK, {'ttl_ms': 1000}

    def end_lease(self, lease: int) -> None:
        """Remove a lease and delete the keys attached to it."""
        self._leases.pop(lease, None)
        for key, entry in list(self.entries.items()):
            if entry.lease == lease:
                self.remove(key)

    def _entry_fields(self, key: str) -> dict[str, Any]:
        return {'key': key, **attrs.asdict(self.entries[key])}

    def _publish_event(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()


def _is_too_large(txn: dict[str, Any]) -> bool:
    """Whether a transaction or one of its values is over its limit."""
    values = [base64.b64decode(write['value']) for write in txn['writes']]
    return (
        sum(map(len, txn.values())) > MAX_TRANSACTION_ENTRIES
        or max(map(len, values), default=0) > MAX_VALUE_BYTES
    )


def _rejects_none(call: str, fields: dict[str, str]) -> bool:
    return False
