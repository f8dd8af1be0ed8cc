"""briarrill.platform.store: client of the platform's key-value store."""

import itertools
import math
import time
from collections.abc import Awaitable, Callable, Sequence
from functools import partial
from http import HTTPStatus
from typing import TypeVar
from urllib.parse import urlencode

import attrs
import msgspec
import trio
from eliot import log_message

from ..coordination.reply_monitor import ReplyMonitor
from ..decoding import Decoder
from ..errors import (
    BriarrillError,
    MalformedMessageError,
    PlatformUnavailableError,
    ResponseTooLargeError,
    UpstreamLostError,
)
from ..metrics import KEY_VALUE_CALLS
from ..transport.http_channel import ChannelPool
from ..transport.http_messages import RequestHead
from ..transport.key_value import (
    ChangeStream,
    KeyChange,
    KeySnapshot,
    KeyValue,
    KeyValueService,
    TransactionLimits,
    WatchProgress,
    record_refused_write,
)
from .store_replies import (
    ITEM_DECODER,
    LEASE_DECODER,
    RANGE_DECODER,
    TXN_DECODER,
    WATCH_DECODER,
    RangeReply,
    WatchReply,
)
from .store_writes import (
    OUTAGE_RETRY_AFTER_S,
    RefusedWriteError,
    StatusError,
    transaction_fields,
    unavailable,
    write_with_retry,
)

__all__ = ('PlatformStore',)

# over twenty times the store's usual response time and several times that of
# a slow store; shorter than a caller waits for the acceptance of a job
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.5

# time after which a reply counts as late: several times the latency of a slow
# store, 0.25 s, and a fraction of the 2.4 s of silence after which the leases
# of live upstreams may expire
LATE_REPLY_S = 0.5

# interval of the probes that show whether the store replies while nothing else
# is called; with the time above far shorter than those 2.4 s
PROBE_INTERVAL_S = 0.8

# a probe that takes longer has no reply; with the interval shorter than the
# contact time of 3 s, within which a dead connection must be replaced
PROBE_TIMEOUT_S = 1.0

# a key that does not exist; reading it is the cheapest call
PROBE_KEY = 'briarrill-probe'

# name in the pool of the connection that is kept for probes; without it each
# probe that finds no idle connection would have to replace all others
PROBE_CHANNEL = 'probe'

# longest wait of one watch call; a dead connection that reports no error is
# detected within this time plus the call timeout
MAX_WATCH_WAIT_S = 4.0

# shortest time between two replacements of connections after a probe that was
# answered on a new one: each costs two reads a watch, and a store may close
# idle connections before the next probe; with the interval of probes shorter
# than the contact time
MIN_REPLACEMENT_INTERVAL_S = 1.6

# of a conditional write: rows of "expected", "writes" and "remove" together
MAX_TRANSACTION_ENTRIES = 32

# of a value, unless the settings name another limit
DEFAULT_MAX_VALUE_BYTES = 1_048_576

# a page holds at most 1 MB of values; base64 and field names add half of it
MAX_REPLY_BYTES = 8_000_000

# calls in a row that fail until the store counts as unreachable; one alone
# may have been sent on a connection that was just closed
UNREACHABLE_FAILED_CALLS = 2

_MS_PER_S = 1000

_Reply = TypeVar('_Reply')
_Listed = TypeVar('_Listed', RangeReply, WatchReply | None)


@attrs.frozen
class _RawReply:
    """Status and undecoded body of a response."""

    status: int
    body: bytes


class PlatformStore(KeyValueService):
    """Client of the platform's metadata store over HTTP.

    :param address: IP address and port of the store.
    :param max_value_bytes: largest value that the store accepts.
    :ivar replies: times of the replies.
    """

    def __init__(
        self,
        address: tuple[str, int],
        max_value_bytes: int = DEFAULT_MAX_VALUE_BYTES,
    ) -> None:
        """Create a client; the first call connects."""
        self.limits = TransactionLimits(
            MAX_TRANSACTION_ENTRIES, max_value_bytes
        )
        self._address = address
        self._host = f'{address[0]}:{address[1]}'.encode()
        self._pool = ChannelPool(CONNECT_TIMEOUT_S)
        self._failed_calls = 0
        self._replaced_at = -math.inf
        self.replies = ReplyMonitor()

    @property
    def is_reachable(self) -> bool:
        """Whether the last calls were not all rejected or lost."""
        return self._failed_calls < UNREACHABLE_FAILED_CALLS

    async def read(self, key: str) -> KeyValue | None:
        """Return a key with its value, or nothing if it does not exist."""
        raw = await self._get('/kv-key', key=key)
        if raw.status == HTTPStatus.NOT_FOUND:
            return None
        item = _decode(raw, ITEM_DECODER)
        try:
            return item.as_key_value()
        except MalformedMessageError as exc:
            raise unavailable(exc) from exc

    async def read_prefix(
        self, prefix: str, *, after: str = '', limit: int = 0
    ) -> list[KeyValue]:
        """Return the keys under a prefix in order, up to the limit."""
        snapshot = await self._read_pages(prefix, after, limit)
        return list(snapshot.entries)

    async def transact(self, changes: Sequence[KeyChange]) -> int | None:
        """Apply all changes, or none if an expected revision does not match.

        A write whose reply was lost is retried once.

        :returns: the revision of the write, or nothing after a conflict.
        :raises WriteRefusedError: nothing was written, and the same changes
            will be refused again.
        :raises PlatformUnavailableError: nothing was written.
        :raises WriteUnknownError: the write may have been applied, or may
            still be.
        """
        self.limits.check(changes)
        body = msgspec.json.encode(transaction_fields(changes))
        try:
            return await write_with_retry(
                self,
                changes,
                partial(self._call_transaction, body),
            )
        except RefusedWriteError as exc:
            # an earlier attempt was the same and is refused as well
            raise record_refused_write(changes, str(exc)) from exc

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its identifier."""
        body = msgspec.json.encode({'ttl_ms': ttl_s * _MS_PER_S})
        raw = await self._call_or_unavailable('POST', '/kv-lease', body)
        return _decode(raw, LEASE_DECODER).lease

    async def keep_lease_alive(self, lease_id: int) -> int:
        """Renew a lease; return its time to live in s, 0 if it expired."""
        raw = await self._call_or_unavailable(
            'POST', f'/kv-keep/{lease_id}', b''
        )
        if raw.status == HTTPStatus.NOT_FOUND:
            return 0
        return _decode(raw, LEASE_DECODER).ttl_ms // _MS_PER_S

    async def revoke_lease(self, lease_id: int) -> None:
        """Revoke a lease, which deletes its keys."""
        await self._call_or_unavailable(
            'DELETE', f'/kv-lease-end/{lease_id}', b''
        )

    async def follow_prefix(
        self, prefix: str, min_interval_s: float = 0, after_revision: int = 0
    ) -> ChangeStream:
        """Yield a snapshot of the keys under a prefix, then each change.

        :param min_interval_s: pause after changes, so that later ones come
            together.
        :param after_revision: revision after which changes are yielded,
            without a snapshot; 0 for a snapshot first. If the store no longer
            has the history, a snapshot follows.
        """
        revision = after_revision
        # the first call does not wait: its reply shows that the watch works,
        # and brings the changes since the first page of a snapshot
        wait_s: float = 0
        while True:
            if not revision:
                snapshot = await self._read_pages(
                    prefix, skips_unreadable=True
                )
                yield snapshot
                revision = snapshot.revision
                wait_s = 0
            reply = await _read_confirmed(
                partial(self._read_changes, prefix, revision, wait_s)
            )
            wait_s = MAX_WATCH_WAIT_S
            if reply is None:
                revision = 0
                continue
            revision = reply.at
            for event in reply.listed.readable:
                yield event
            yield WatchProgress(revision)
            await trio.sleep(min_interval_s if reply.events else 0)

    async def probe_periodically(self, on_silence: Callable[[], None]) -> None:
        """Make a cheap call whenever no reply shows that connections work.

        Watches wait for seconds, so without it neither a short outage nor a
        dead connection would show.

        :param on_silence: called when the open connections may be dead.
        """
        while True:
            silent_s = time.monotonic() - self.replies.verified_at
            if silent_s < PROBE_INTERVAL_S:
                await trio.sleep(PROBE_INTERVAL_S - silent_s)
                continue
            if await self._probe():
                # idle connections may be as dead as those in use
                self._pool.close_server(self._host.decode())
                self.replies.forget_connections()
                on_silence()
            await trio.sleep(PROBE_INTERVAL_S)

    def close(self) -> None:
        """Close the pooled connections."""
        self._pool.close()

    async def _probe(self) -> bool:
        """Make a cheap call; tell whether to replace the open connections."""
        query = urlencode({'key': PROBE_KEY, 'allow_stale': 1})
        started_at = time.monotonic()
        try:
            await self._call(
                'GET',
                f'/kv-key?{query}',
                b'',
                PROBE_TIMEOUT_S,
                kept_channel=PROBE_CHANNEL,
            )
        except StatusError:
            return False
        except (BriarrillError, trio.TooSlowError):
            return True
        if (
            self.replies.verified_at >= started_at
            or started_at - self._replaced_at < MIN_REPLACEMENT_INTERVAL_S
        ):
            return False
        # the reply came on a connection that is newer than those in use
        self._replaced_at = started_at
        return True

    async def _read_pages(
        self,
        prefix: str,
        after: str = '',
        limit: int = 0,
        *,
        skips_unreadable: bool = False,
    ) -> KeySnapshot:
        """Return keys and the revision after which to watch for changes.

        Pages are read at different revisions, so it is the first page's.

        :param skips_unreadable: leave out items that cannot be read instead
            of failing.
        """
        entries: list[KeyValue] = []
        first_revision = 0
        for page in itertools.count():
            read_page = partial(self._read_page, prefix, after)
            if skips_unreadable:
                reply = await _read_confirmed(read_page)
                page_entries = reply.listed.readable
            else:
                reply = await read_page()
                page_entries = _all_entries(reply)
            first_revision = first_revision if page else reply.at
            entries.extend(page_entries)
            if not reply.has_more or 0 < limit <= len(entries):
                break
            after = _last_key(page_entries)
        return KeySnapshot(
            tuple(entries[: limit or None]),
            first_revision,
            is_consistent=reply.at == first_revision,
        )

    async def _read_page(self, prefix: str, after: str) -> RangeReply:
        """Return one page of keys."""
        raw = await self._get('/kv-range', prefix=prefix, after=after)
        return _decode(raw, RANGE_DECODER)

    async def _read_changes(
        self, prefix: str, revision: int, wait_s: float
    ) -> WatchReply | None:
        """Return the next changes.

        :returns: nothing if all keys have to be read instead: the history is
            compacted, or the changes do not fit into one reply.
        """
        query = urlencode(
            {
                'prefix': prefix,
                'after': revision,
                'wait_ms': int(wait_s * _MS_PER_S),
            }
        )
        try:
            raw = await self._call(
                'GET',
                f'/kv-watch?{query}',
                b'',
                timeout_s=wait_s + CALL_TIMEOUT_S,
                wait_s=wait_s,
            )
        except ResponseTooLargeError as exc:
            log_message('store:too-many-changes', reason=exc.message)
            return None
        except (BriarrillError, trio.TooSlowError, StatusError) as exc:
            raise unavailable(exc) from exc
        if raw.status == HTTPStatus.GONE:
            return None
        return _decode(raw, WATCH_DECODER)

    async def _call_transaction(self, body: bytes) -> int | None:
        """Make a conditional write; return its revision.

        :returns: nothing if a condition did not hold.
        :raises RefusedWriteError: the store takes no such write.
        :raises PlatformUnavailableError: the store rejected the write.
        :raises UpstreamLostError: the reply was lost or cannot be read, or
            it is a server error that does not say that nothing was done.
        """
        raw = await self._call('POST', '/kv-txn', body)
        if raw.status in _REFUSED_WRITE_STATUSES:
            raise RefusedWriteError(f'status {raw.status}')
        if raw.status == HTTPStatus.PRECONDITION_FAILED:
            return None
        if raw.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise UpstreamLostError(
                f'the store responded to a write with status {raw.status}'
            )
        if raw.status != HTTPStatus.OK:
            raise _unexpected_status(raw)
        try:
            return TXN_DECODER.decode(raw.body).revision
        except MalformedMessageError as exc:
            raise UpstreamLostError(
                f'reply to a write cannot be read: {exc.message}'
            ) from exc

    async def _get(self, path: str, **query: str) -> _RawReply:
        """Make a GET call; empty query parameters are left out."""
        named = {name: text for name, text in query.items() if text}
        return await self._call_or_unavailable(
            'GET', f'{path}?{urlencode(named)}', b''
        )

    async def _call_or_unavailable(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float = CALL_TIMEOUT_S,
        *,
        wait_s: float = 0,
    ) -> _RawReply:
        """Make a call that is no conditional write.

        :param wait_s: time that the store may take in any case.
        :raises PlatformUnavailableError: the call failed, or its outcome is
            unknown.
        """
        try:
            return await self._call(
                method, target, body, timeout_s, wait_s=wait_s
            )
        except (BriarrillError, trio.TooSlowError, StatusError) as exc:
            raise unavailable(exc) from exc

    async def _call(
        self,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float = CALL_TIMEOUT_S,
        *,
        wait_s: float = 0,
        kept_channel: str | None = None,
    ) -> _RawReply:
        """Make one call.

        :param wait_s: time that the store may take in any case.
        :param kept_channel: name of a channel that only such calls use.
        :raises StatusError: the store rejected the call unexecuted.
        :raises UpstreamLostError: the connection broke; outcome unknown.
        :raises TooSlowError: the timeout passed; outcome unknown.
        """
        KEY_VALUE_CALLS.labels(target.split('?')[0].split('/')[1]).inc()
        headers = [
            (b'host', self._host),
            (b'content-length', str(len(body)).encode()),
        ]
        if body:
            headers.append((b'content-type', b'application/json'))
        head = RequestHead(method.encode(), target.encode(), tuple(headers))
        due_s = wait_s + LATE_REPLY_S
        try:
            with self.replies.call(due_s), trio.fail_after(timeout_s):
                raw = await self._exchange(head, body, kept_channel)
        except (BriarrillError, trio.TooSlowError):
            self._failed_calls += 1
            raise
        if raw.status in _REJECTED_STATUSES:
            self._failed_calls += 1
            raise StatusError(raw.status)
        self._failed_calls = 0
        return raw

    async def _exchange(
        self, head: RequestHead, body: bytes, kept_channel: str | None
    ) -> _RawReply:
        """Send one request on a pooled connection and read the response."""
        server = self._host.decode()
        kept = kept_channel and self._pool.pop_idle(kept_channel)
        channel = kept or await self._pool.acquire(server, self._address)
        try:
            async with channel.exchange(head, body):
                response = await channel.read_head()
                reply_body = await channel.read_full_body(MAX_REPLY_BYTES)
        except BaseException:
            channel.close()
            raise
        self.replies.record_connection(channel.opened_at)
        self._pool.release(kept_channel or server, channel)
        return _RawReply(response.status, reply_body)


# statuses of rejected calls, which the store has not executed
_REJECTED_STATUSES = frozenset(
    (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
)

# statuses of writes that are malformed, too large or not allowed; they depend
# on nothing but the write
_REFUSED_WRITE_STATUSES = frozenset(
    (
        HTTPStatus.BAD_REQUEST,
        HTTPStatus.FORBIDDEN,
        HTTPStatus.REQUEST_ENTITY_TOO_LARGE,
    )
)


def _decode(raw: _RawReply, decoder: Decoder[_Reply]) -> _Reply:
    """Decode the body of a response with status 200.

    :raises PlatformUnavailableError: the status or the body is another one.
    """
    if raw.status != HTTPStatus.OK:
        raise _unexpected_status(raw)
    try:
        return decoder.decode(raw.body)
    except MalformedMessageError as exc:
        raise unavailable(exc) from exc


async def _read_confirmed(read: Callable[[], Awaitable[_Listed]]) -> _Listed:
    """Read again if a reply has items that cannot be read.

    One that cannot be read in a second reply either is unreadable where it is
    stored; otherwise the reply was damaged, and the item may be a sound one.

    :raises PlatformUnavailableError: the replies differ in these items.
    """
    first = await read()
    if first is None or not first.listed.unreadable:
        return first
    second = await read()
    if second is None or second.listed.unreadable <= first.listed.unreadable:
        return second
    raise PlatformUnavailableError(
        'items that cannot be read differ between two replies',
        retry_after_s=OUTAGE_RETRY_AFTER_S,
    )


def _all_entries(reply: RangeReply) -> tuple[KeyValue, ...]:
    """Return the keys of a page.

    :raises PlatformUnavailableError: an item cannot be read.
    """
    try:
        return tuple(reply.all_entries())
    except MalformedMessageError as exc:
        raise unavailable(exc) from exc


def _last_key(entries: Sequence[KeyValue]) -> str:
    """Return the last key of a page, after which the next one begins.

    :raises PlatformUnavailableError: no item of the page can be read.
    """
    if not entries:
        raise PlatformUnavailableError(
            'no item of a page can be read',
            retry_after_s=OUTAGE_RETRY_AFTER_S,
        )
    return entries[-1].key


def _unexpected_status(raw: _RawReply) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f'the store responded with status {raw.status}'
    )
