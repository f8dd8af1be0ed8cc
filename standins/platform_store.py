"""standins.platform_store: the users' platform's store, in one process.

Speaks the published protocol as far as briarrill uses it: keys, ranges,
watches, conditional writes and leases over HTTP, with switches for faults.
"""

import base64
import json
import time
from http import HTTPStatus
from typing import Any
from urllib.parse import parse_qs

import attrs
import trio

from briarrill.transport.http_callers import CallerConnection, CallerLimits

__all__ = ('StandinStore',)

Reply = tuple[int, dict[str, Any]]

CALLER_LIMITS = CallerLimits(max_body_bytes=16_000_000)


@attrs.define
class _Entry:
    value: str
    revision: int
    created: int
    lease: int


class StandinStore:
    """Keys in memory.

    :ivar refuse_with: status of all answers, 0 for none.
    :ivar lose_replies: writes that are made and not answered.
    :ivar lose_writes: writes that are kept and made by
        :meth:`make_late_writes`.
    :ivar silent: take calls and never answer.
    :ivar page: keys of one page.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 7
        self.entries: dict[str, _Entry] = {}
        self.events: list[dict[str, Any]] = []
        self.calls: list[str] = []
        self.refuse_with = 0
        self.lose_replies = 0
        self.lose_writes = 0
        self.silent = False
        self.page = 500
        self._forgotten = 0
        self._changed = trio.Event()
        self._late: list[dict[str, Any]] = []
        self._leases: dict[int, float] = {}

    def caller_limits(self) -> CallerLimits:
        """Return the limits of a connection."""
        return CALLER_LIMITS

    async def serve(self, conn: CallerConnection) -> None:
        """Answer the calls of one connection."""
        while (head := await conn.read_request_head()) is not None:
            body = await conn.read_body(head)
            _, _, query = head.target.decode().partition('?')
            fields = {
                name: found[0] for name, found in parse_qs(query).items()
            }
            call = head.path.split('/')[1]
            self.calls.append(call)
            if self.silent:
                await trio.sleep_forever()
            if self.refuse_with:
                await conn.send_response(self.refuse_with, (), b'{}')
                continue
            argument = head.path.rpartition('/')[2]
            reply = await self._answer(call, argument, fields, body)
            if reply is None:
                return
            await conn.send_response(
                reply[0],
                ((b'content-type', b'application/json'),),
                json.dumps(reply[1]).encode(),
            )

    def put(self, key: str, body: bytes, lease: int = 0) -> None:
        """Write a key as another client of the store does."""
        self.revision += 1
        known = self.entries.get(key)
        created = known.created if known else self.revision
        value = base64.b64encode(body).decode()
        self.entries[key] = _Entry(value, self.revision, created, lease)
        self._tell(self._view(key))

    def remove(self, key: str) -> None:
        """Delete a key."""
        if self.entries.pop(key, None) is None:
            return
        self.revision += 1
        self._tell({'key': key, 'revision': self.revision, 'tombstone': True})

    def forget_history(self) -> None:
        """Answer watches from before now with 410."""
        self._forgotten = self.revision
        self._wake()

    def make_late_writes(self) -> list[Reply]:
        """Make the writes that were kept, if their conditions hold."""
        late, self._late = self._late, []
        return [self._make(txn) for txn in late]

    async def _answer(
        self, call: str, argument: str, fields: dict[str, str], body: bytes
    ) -> Reply | None:
        if call == 'kv-key':
            return self._read(fields['key'])
        if call == 'kv-range':
            return self._range(fields)
        if call == 'kv-watch':
            return await self._watch(fields)
        if call == 'kv-txn':
            return self._txn(json.loads(body))
        return self._lease_call(call, argument, body)

    def _read(self, key: str) -> Reply:
        if key not in self.entries:
            return HTTPStatus.NOT_FOUND, {}
        return HTTPStatus.OK, {**self._view(key), 'at': self.revision}

    def _range(self, fields: dict[str, str]) -> Reply:
        after = fields.get('after', '')
        prefix = fields.get('prefix', '')
        keys = sorted(
            key
            for key in self.entries
            if key.startswith(prefix) and key > after
        )
        found = [self._view(key) for key in keys[: self.page]]
        return HTTPStatus.OK, {
            'items': found,
            'has_more': len(keys) > self.page,
            'at': self.revision,
        }

    async def _watch(self, fields: dict[str, str]) -> Reply:
        after = int(fields['after'])
        with trio.move_on_after(int(fields['wait_ms']) / 1000):
            while True:
                if after < self._forgotten:
                    return HTTPStatus.GONE, {}
                found = [
                    event
                    for event in self.events
                    if event['revision'] > after
                    and event['key'].startswith(fields['prefix'])
                ]
                if found:
                    return HTTPStatus.OK, {
                        'events': found,
                        'at': self.revision,
                    }
                await self._changed.wait()
        return HTTPStatus.OK, {'events': [], 'at': self.revision}

    def _txn(self, txn: dict[str, Any]) -> Reply | None:
        if self.lose_writes:
            self.lose_writes -= 1
            self._late.append(txn)
            return None
        reply = self._make(txn)
        if self.lose_replies:
            self.lose_replies -= 1
            return None
        return reply

    def _make(self, txn: dict[str, Any]) -> Reply:
        for row in txn['expected']:
            known = self.entries.get(row['key'])
            if row['revision'] != (known.revision if known else 0):
                return HTTPStatus.PRECONDITION_FAILED, {'items': []}
        for write in txn['writes']:
            body = base64.b64decode(write['value'])
            self.put(write['key'], body, write['lease'])
        for key in txn['remove']:
            self.remove(key)
        return HTTPStatus.OK, {'revision': self.revision}

    def _lease_call(self, call: str, argument: str, body: bytes) -> Reply:
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
        """End a lease and delete its keys."""
        self._leases.pop(lease, None)
        for key, entry in list(self.entries.items()):
            if entry.lease == lease:
                self.remove(key)

    def _view(self, key: str) -> dict[str, Any]:
        return {'key': key, **attrs.asdict(self.entries[key])}

    def _tell(self, event: dict[str, Any]) -> None:
        self.events.append(event)
        self._wake()

    def _wake(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
