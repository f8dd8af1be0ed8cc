"""briarrill.transport.etcd: key-value client for the etcd v3 JSON gateway."""

import base64
import contextlib
from collections.abc import AsyncIterator, Iterator, Sequence
from typing import Any

import httpx

from ..decoding import decode_base64, json_decoder
from ..errors import (
    MalformedMessageError,
    PlatformUnavailableError,
    WriteUnknownError,
)
from ..metrics import KEY_VALUE_CALLS
from .bounded_http import iter_lines, open_stream, request
from .key_value import (
    ChangeStream,
    KeyChange,
    KeySnapshot,
    KeyValue,
    KeyValueService,
    TransactionLimits,
    WatchEvent,
    record_refused_write,
)

__all__ = ('EtcdService', 'prefix_end')

CALL_TIMEOUT_S = 2.0

# all keys under a prefix, or a watch message
MAX_REPLY_BYTES = 64_000_000

# time for one message of a watch: the largest one takes 26 s at 20 Mbit/s
WATCH_LINE_TIMEOUT_S = 30.0

# a write whose reply was lost is repeated: its revision comparison lets only
# one attempt take effect, also if the first one arrives late
WRITE_ATTEMPTS = 3

# server errors that are raised before a write is applied; after any other one,
# such as a timeout or a change of leader, the write may still take effect
NOT_APPLIED_MESSAGES = (
    'etcdserver: no leader',
    'etcdserver: too many requests',
    'transport: Error while dialing',
)

# client errors that are raised before the request is sent
NOT_SENT_ERRORS = (httpx.ConnectError, httpx.ConnectTimeout, httpx.PoolTimeout)

# limits of a server with its default settings; it counts comparisons and
# changes apart, and the sum of both is within either
MAX_TRANSACTION_ENTRIES = 128
MAX_VALUE_BYTES = 1_000_000

# statuses of writes that are malformed, too large or not allowed
REFUSED_WRITE_STATUSES = frozenset((400, 403, 413))

# Retry-After sent to callers when the service is unavailable
OUTAGE_RETRY_AFTER_S = 5.0


# a call that failed, or a reply whose fields are not as documented
_CALL_ERRORS = (
    httpx.HTTPError,
    ValueError,
    KeyError,
    TypeError,
    AttributeError,
    MalformedMessageError,
)

_OBJECT_DECODER = json_decoder(dict[str, Any])


def prefix_end(prefix: str) -> bytes:
    """Return the first key after all keys with this prefix."""
    raw = prefix.encode()
    return raw[:-1] + bytes([raw[-1] + 1])


def _encode_base64(raw: bytes) -> str:
    return base64.b64encode(raw).decode()


def _decode_key_value(fields: dict[str, Any]) -> KeyValue:
    return KeyValue(
        key=decode_base64(fields['key']).decode(),
        body=decode_base64(fields.get('value', '')),
        mod_revision=int(fields['mod_revision']),
    )


def _decode_watch_event(fields: dict[str, Any]) -> WatchEvent:
    entry = _decode_key_value(fields['kv'])
    deleted = fields.get('type') == 'DELETE'
    return WatchEvent(
        key=entry.key,
        body=None if deleted else entry.body,
        mod_revision=entry.mod_revision,
    )


class EtcdService(KeyValueService):
    """Key-value service on an etcd v3 JSON gateway.

    :param client: HTTP client whose base URL is the gateway.
    """

    limits = TransactionLimits(MAX_TRANSACTION_ENTRIES, MAX_VALUE_BYTES)

    def __init__(self, client: httpx.AsyncClient) -> None:
        """Store the client; the caller closes it."""
        self._client = client

    async def read(self, key: str) -> KeyValue | None:
        """Return the key with its value, or None if it does not exist."""
        entries = await self._read_range({'key': _encode_base64(key.encode())})
        return entries[0] if entries else None

    async def read_prefix(
        self, prefix: str, *, after: str = '', limit: int = 0
    ) -> list[KeyValue]:
        """Return the keys under a prefix in key order."""
        start = f'{after}\0' if after else prefix
        return await self._read_range(
            {
                'key': _encode_base64(start.encode()),
                'range_end': _encode_base64(prefix_end(prefix)),
                'limit': limit,
            }
        )

    async def transact(self, changes: Sequence[KeyChange]) -> int | None:
        """Apply all changes, or none if a revision does not match.

        A write whose reply was lost is tried ``WRITE_ATTEMPTS`` times in all.
        """
        self.limits.check(changes)
        txn = _encode_transaction(changes)
        lost_exc: Exception | None = None
        for _ in range(WRITE_ATTEMPTS):
            try:
                reply = await self._post_raw('/v3/kv/txn', txn)
                revision = int(reply['header']['revision'])
            except _CALL_ERRORS as exc:
                _raise_if_refused(changes, exc)
                lost_exc = _first_lost_reply_error(exc, lost_exc)
                continue
            if reply.get('succeeded'):
                return revision
            return await self._resolve_conflict(changes, lost_exc)
        raise _unknown_write_error(changes[0], lost_exc)

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease of ``ttl_s`` seconds and return its identifier."""
        reply = await self._post('/v3/lease/grant', {'TTL': ttl_s, 'ID': 0})
        with _malformed_as_outage():
            return int(reply['ID'])

    async def keep_lease_alive(self, lease_id: int) -> int:
        """Renew a lease; return its TTL in seconds, 0 if it has expired."""
        reply = await self._post('/v3/lease/keepalive', {'ID': lease_id})
        with _malformed_as_outage():
            return int(reply['result'].get('TTL', 0))

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease, which deletes the keys attached to it."""
        await self._post('/v3/lease/revoke', {'ID': lease_id})

    async def follow_prefix(
        self, prefix: str, min_interval_s: float = 0, after_revision: int = 0
    ) -> ChangeStream:
        """Yield a snapshot of a prefix, then each change of its keys."""
        create = {
            'create_request': {
                'key': _encode_base64(prefix.encode()),
                'range_end': _encode_base64(prefix_end(prefix)),
            }
        }
        try:
            KEY_VALUE_CALLS.labels('watch').inc()
            async for line in self._stream_lines('/v3/watch', create):
                for change in await self._decode_watch_message(
                    _OBJECT_DECODER.decode(line), prefix
                ):
                    yield change
        except _CALL_ERRORS as exc:
            raise _unavailable_error(exc) from exc
        raise PlatformUnavailableError('the watch ended')

    async def _stream_lines(
        self, path: str, body: dict[str, Any]
    ) -> AsyncIterator[bytes]:
        """Call the gateway; yield the lines of its streamed reply."""
        http_req = self._client.build_request(
            'POST',
            path,
            json=body,
            timeout=httpx.Timeout(CALL_TIMEOUT_S, read=None),
        )
        async with open_stream(
            self._client, http_req, CALL_TIMEOUT_S
        ) as reply:
            reply.raise_for_status()
            async for line in iter_lines(
                reply, MAX_REPLY_BYTES, WATCH_LINE_TIMEOUT_S
            ):
                yield line

    async def _read_range(self, body: dict[str, Any]) -> list[KeyValue]:
        """Return the keys of a range request."""
        reply = await self._post('/v3/kv/range', body)
        with _malformed_as_outage():
            return [
                _decode_key_value(fields) for fields in reply.get('kvs', ())
            ]

    async def _decode_watch_message(
        self, message: dict[str, Any], prefix: str
    ) -> Sequence[KeySnapshot | WatchEvent]:
        """Return the changes in a watch message.

        The first message confirms that the watch was created; the snapshot
        is read after it, so that no change is lost between the two.
        """
        reply = message['result']
        if reply.get('created'):
            return [KeySnapshot(tuple(await self.read_prefix(prefix)))]
        return [
            _decode_watch_event(fields) for fields in reply.get('events', ())
        ]

    async def _resolve_conflict(
        self, changes: Sequence[KeyChange], lost_exc: Exception | None
    ) -> int | None:
        """Return the revision of an own write whose reply was lost.

        :return: None if another writer changed a key first.
        :raises WriteUnknownError: the keys could not be read back.
        """
        if lost_exc is None:
            return None
        try:
            return await self.resolve_lost_reply(changes)
        except PlatformUnavailableError as exc:
            raise _unknown_write_error(changes[0], lost_exc) from exc

    async def _post(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        """Call the gateway; return its decoded reply.

        :raises PlatformUnavailableError: the call failed.
        """
        try:
            return await self._post_raw(path, body)
        except _CALL_ERRORS as exc:
            raise _unavailable_error(exc) from exc

    async def _post_raw(
        self, path: str, body: dict[str, Any]
    ) -> dict[str, Any]:
        """Call the gateway without converting errors.

        :raises httpx.HTTPError: the call failed or returned an error status.
        :raises MalformedMessageError: the reply is no JSON object.
        """
        KEY_VALUE_CALLS.labels(path.removeprefix('/v3/')).inc()
        reply = await request(
            self._client,
            'POST',
            path,
            json=body,
            timeout_s=CALL_TIMEOUT_S,
            max_bytes=MAX_REPLY_BYTES,
        )
        reply.raise_for_status()
        return _OBJECT_DECODER.decode(reply.content)


@contextlib.contextmanager
def _malformed_as_outage() -> Iterator[None]:
    """Convert the errors of reading a reply's fields.

    :raises PlatformUnavailableError: a field is missing or malformed.
    """
    try:
        yield
    except _CALL_ERRORS as exc:
        raise _unavailable_error(exc) from exc


def _encode_transaction(changes: Sequence[KeyChange]) -> dict[str, Any]:
    """Encode changes as the body of a transaction request."""
    conditional = [
        change for change in changes if change.mod_revision is not None
    ]
    return {
        'compare': [_encode_comparison(change) for change in conditional],
        'success': [_encode_operation(change) for change in changes],
    }


def _encode_comparison(change: KeyChange) -> dict[str, Any]:
    return {
        'key': _encode_base64(change.key.encode()),
        'target': 'MOD',
        'result': 'EQUAL',
        'mod_revision': change.mod_revision,
    }


def _encode_operation(change: KeyChange) -> dict[str, Any]:
    key = _encode_base64(change.key.encode())
    if change.body is None:
        return {'request_delete_range': {'key': key}}
    put = {
        'key': key,
        'value': _encode_base64(change.body),
        'lease': change.lease_id,
    }
    return {'request_put': put}


def _first_lost_reply_error(
    exc: Exception, earlier_exc: Exception | None
) -> Exception:
    """Return the first error after which the write may have taken effect.

    :raises PlatformUnavailableError: the first failure certainly had no
        effect, so nothing was written.
    """
    if earlier_exc is not None:
        return earlier_exc
    if _had_no_effect(exc):
        raise _unavailable_error(exc) from exc
    return exc


def _raise_if_refused(changes: Sequence[KeyChange], exc: Exception) -> None:
    """Raise if the service takes no such write.

    :raises WriteRefusedError: it does not, however often it is repeated.
    """
    if (
        isinstance(exc, httpx.HTTPStatusError)
        and exc.response.status_code in REFUSED_WRITE_STATUSES
    ):
        raise record_refused_write(changes, repr(exc)) from exc


def _had_no_effect(exc: Exception) -> bool:
    """Return whether a failed call certainly had no effect."""
    if isinstance(exc, httpx.HTTPStatusError):
        is_rejected = exc.response.is_client_error
        return is_rejected or any(
            map(exc.response.text.count, NOT_APPLIED_MESSAGES)
        )
    return isinstance(exc, NOT_SENT_ERRORS)


def _unknown_write_error(
    change: KeyChange, lost_exc: Exception | None
) -> WriteUnknownError:
    return WriteUnknownError(
        f'reply to the write of {change.key} was lost: {lost_exc!r}',
        retry_after_s=OUTAGE_RETRY_AFTER_S,
    )


def _unavailable_error(exc: Exception) -> PlatformUnavailableError:
    return PlatformUnavailableError(
        f'key-value service: {exc!r}', retry_after_s=OUTAGE_RETRY_AFTER_S
    )
