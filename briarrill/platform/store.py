"""briarrill.platform.store: the platform's store as key-value service."""

import base64
import itertools
from collections.abc import AsyncIterator, Sequence
from http import HTTPStatus
from typing import Any, TypeVar
from urllib.parse import urlencode

import attrs
import msgspec
import trio

from ..errors import (
    BriarrillError,
    PeerUnreachableError,
    PlatformUnavailableError,
    UpstreamLostError,
    WriteUnknownError,
)
from ..metrics import KEY_VALUE_CALLS
from ..transport.http_channel import ChannelPool
from ..transport.http_messages import RequestHead
from ..transport.key_value import (
    KeyChange,
    KeyPosition,
    KeySnapshot,
    KeyValue,
    KeyValueService,
    WatchEvent,
)

__all__ = ('PlatformStore',)

# over twenty times the store's usual answer and several times that of a
# slow one; shorter than a caller waits for the acceptance of a job
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.5

# longest wait of one watch; a watch whose connection is silently dead is
# found no later than this and the time for a call
WATCH_WAIT_S = 4.0

# a write whose reply was lost is repeated: its condition lets it take effect
# once, and a late first one cannot overtake it
WRITE_ATTEMPTS = 2

# pages hold at most a megabyte of values; base64 and the fields add a half
MAX_REPLY_BYTES = 8_000_000

OUTAGE_RETRY_AFTER_S = 1.0

# wire form of no lease, and of the revision of a key that does not exist
NONE = 0

_MS_PER_S = 1000

_Reply = TypeVar('_Reply')


@attrs.frozen
class _Item:
    """A key as the store shows it.

    :param value: base64; absent in a tombstone.
    :param revision: the key's last change.
    """

    key: str = ''
    value: str = ''
    revision: int = 0
    tombstone: bool = False

    def as_key_value(self) -> KeyValue:
        body = base64.b64decode(self.value)
        return KeyValue(self.key, body, self.revision)

    def as_event(self) -> WatchEvent:
        body = None if self.tombstone else base64.b64decode(self.value)
        return WatchEvent(self.key, body, self.revision)


@attrs.frozen
class _RangeReply:
    """A page; ``at`` is the revision of the whole store."""

    items: tuple[_Item, ...]
    has_more: bool
    at: int


@attrs.frozen
class _WatchReply:
    events: tuple[_Item, ...]
    at: int


@attrs.frozen
class _TxnReply:
    revision: int


@attrs.frozen
class _LeaseReply:
    ttl_ms: int
    lease: int = NONE


@attrs.frozen
class _Raw:
    status: int
    body: bytes


class _StatusError(Exception):
    """The store answered that it did not do the call."""

    def __init__(self, status: int) -> None:
        super().__init__(f'status {status}')
        self.status = status


class PlatformStore(KeyValueService):
    """The platform's metadata store over HTTP.

    :param address: IP address and port.
    """

    def __init__(self, address: tuple[str, int]) -> None:
        """Connect on the first call."""
        self._address = address
        self._host = f'{address[0]}:{address[1]}'.encode()
        self._pool = ChannelPool(CONNECT_TIMEOUT_S)

    async def read(self, key: str) -> KeyValue | None:
        """Return the key, or nothing."""
        raw = await self._get('/kv-key', key=key)
        if raw.status == HTTPStatus.NOT_FOUND:
            return None
        return _decode(raw, _Item).as_key_value()

    async def read_prefix(
        self, prefix: str, *, after: str = '', limit: int = 0
    ) -> list[KeyValue]:
        """Return the keys under a prefix in order."""
        entries, _ = await self._read_pages(prefix, after, limit)
        return entries

    async def transact(self, changes: Sequence[KeyChange]) -> int | None:
        """Make all changes, or none if a revision is another one."""
        body = msgspec.json.encode(_txn(changes))
        lost: Exception | None = None
        for _ in range(WRITE_ATTEMPTS):
            try:
                raw = await self._call('POST', '/kv-txn', body)
            except (UpstreamLostError, trio.TooSlowError) as exc:
                lost = exc
            except (PeerUnreachableError, _StatusError) as exc:
                _check_never_sent(exc, lost)
            else:
                return await self._txn_outcome(raw, changes[0], lost)
        raise _write_unknown(changes[0], lost)

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its identifier."""
        body = msgspec.json.encode({'ttl_ms': ttl_s * _MS_PER_S})
        raw = await self._guarded('POST', '/kv-lease', body)
        return _decode(raw, _LeaseReply).lease

    async def keep_lease_alive(self, lease_id: int) -> int:
        """Renew a lease and return its time to live, 0 when it is gone."""
        raw = await self._guarded('POST', f'/kv-keep/{lease_id}', b'')
        if raw.status == HTTPStatus.NOT_FOUND:
            return 0
        return _decode(raw, _LeaseReply).ttl_ms // _MS_PER_S

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        await self._guarded('DELETE', f'/kv-lease-end/{lease_id}', b'')

    async def follow(
        self, prefix: str, pace_s: float = 0, after: int = 0
    ) -> AsyncIterator[KeySnapshot | WatchEvent | KeyPosition]:
        """Yield all keys under a prefix at once, then each change."""
        at = after
        # the first reply after a pause says at once that the watch runs
        wait_s = 0.0
        while True:
            if not at:
                entries, at = await self._read_pages(prefix)
                yield KeySnapshot(tuple(entries), at)
                wait_s = WATCH_WAIT_S
            reply = await self._wait_changes(prefix, at, wait_s)
            wait_s = WATCH_WAIT_S
            if reply is None:
                at = 0
                continue
            at = reply.at
            for event in reply.events:
                yield event.as_event()
            yield KeyPosition(at)
            await trio.sleep(pace_s if reply.events else 0)

    def close(self) -> None:
        """Close the kept connections."""
        self._pool.close()

    async def _read_pages(
        self, prefix: str, after: str = '', limit: int = 0
    ) -> tuple[list[KeyValue], int]:
        """Return keys and the revision from which changes are to follow.

        Pages are not a snapshot, so changes follow from the first one.
        """
        entries: list[KeyValue] = []
        first_at = 0
        for page in itertools.count():
            raw = await self._get('/kv-range', prefix=prefix, after=after)
            reply = _decode(raw, _RangeReply)
            first_at = first_at if page else reply.at
            entries.extend(item.as_key_value() for item in reply.items)
            if not reply.has_more or 0 < limit <= len(entries):
                break
            after = entries[-1].key
        return entries[: limit or None], first_at

    async def _wait_changes(
        self, prefix: str, at: int, wait_s: float
    ) -> _WatchReply | None:
        """Return the next changes, or nothing when history was lost."""
        query = urlencode(
            {
                'prefix': prefix,
                'after': at,
                'wait_ms': int(wait_s * _MS_PER_S),
            }
        )
        raw = await self._guarded(
            'GET',
            f'/kv-watch?{query}',
            b'',
            timeout_s=wait_s + CALL_TIMEOUT_S,
        )
        if raw.status == HTTPStatus.GONE:
            return None
        return _decode(raw, _WatchReply)

    async def _txn_outcome(
        self, raw: _Raw, first: KeyChange, lost: Exception | None
    ) -> int | None:
        """Return the revision of a write, or nothing for a conflict."""
        if raw.status == HTTPStatus.PRECONDITION_FAILED:
            return await self._resolve_conflict(first, lost)
        return _decode(raw, _TxnReply).revision

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

    async def _get(self, path: str, **query: str) -> _Raw:
        named = {name: text for name, text in query.items() if text}
        return await self._guarded('GET', f'{path}?{urlencode(named)}', b'')

    async def _guarded(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _Raw:
        """Call; an outcome that is unknown counts as unavailable too."""
        try:
            return await self._call(method, target, body, timeout_s)
        except (BriarrillError, trio.TooSlowError, _StatusError) as exc:
            raise _unavailable(exc) from exc

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> _Raw:
        """Make one call.

        :raises _StatusError: the store did nothing.
        """
        KEY_VALUE_CALLS.labels(target.split('?')[0].split('/')[1]).inc()
        headers = [
            (b'host', self._host),
            (b'content-length', str(len(body)).encode()),
        ]
        if body:
            headers.append((b'content-type', b'application/json'))
        head = RequestHead(method.encode(), target.encode(), tuple(headers))
        with trio.fail_after(timeout_s):
            raw = await self._exchange(head, body)
        if raw.status in _NOTHING_DONE:
            raise _StatusError(raw.status)
        return raw

    async def _exchange(self, head: RequestHead, body: bytes) -> _Raw:
        channel = await self._pool.take(self._host.decode(), self._address)
        try:
            async with channel.exchange(head, body):
                answer = await channel.read_head()
                whole = await channel.read_whole_body(MAX_REPLY_BYTES)
        except BaseException:
            channel.close()
            raise
        self._pool.put_back(self._host.decode(), channel)
        return _Raw(answer.status, whole)


# answers that promise that nothing was done
_NOTHING_DONE = frozenset(
    (
        HTTPStatus.FORBIDDEN,
        HTTPStatus.TOO_MANY_REQUESTS,
        HTTPStatus.SERVICE_UNAVAILABLE,
    )
)


def _txn(changes: Sequence[KeyChange]) -> dict[str, Any]:
    """Return the body of a conditional write."""
    return {
        'expected': [
            {'key': change.key, 'revision': change.mod_revision}
            for change in changes
            if change.mod_revision is not None
        ],
        'writes': [
            {
                'key': change.key,
                'value': base64.b64encode(change.body).decode(),
                'lease': change.lease_id,
            }
            for change in changes
            if change.body is not None
        ],
        'remove': [change.key for change in changes if change.body is None],
    }


def _decode(raw: _Raw, cls: type[_Reply]) -> _Reply:
    if raw.status != HTTPStatus.OK:
        raise PlatformUnavailableError(f'the store answered {raw.status}')
    try:
        return msgspec.json.decode(raw.body, type=cls)
    except msgspec.MsgspecError as exc:
        raise _unavailable(exc) from exc


def _check_never_sent(exc: Exception, lost: Exception | None) -> None:
    """Tell a refused write from one that an earlier attempt may make.

    :raises PlatformUnavailableError: nothing was written.
    """
    if lost is None:
        raise _unavailable(exc) from exc


def _write_unknown(
    change: KeyChange, lost: Exception | None
) -> WriteUnknownError:
    return WriteUnknownError(
        f'reply to the write of {change.key} was lost: {lost!r}',
        retry_after_s=OUTAGE_RETRY_AFTER_S,
    )


def _unavailable(exc: Exception) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f'the store: {exc!r}', retry_after_s=OUTAGE_RETRY_AFTER_S
    )
