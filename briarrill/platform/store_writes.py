"""briarrill.platform.store_writes: conditional writes of the store's client.

A write whose reply was lost is repeated. Its conditions prevent a second
effect, also if the first attempt is applied after the second.
"""

import base64
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import trio

from ..errors import (
    PeerUnreachableError,
    PlatformUnavailableError,
    UpstreamLostError,
    WriteUnknownError,
)
from ..transport.key_value import KeyChange, KeyValueService

__all__ = (
    'OUTAGE_RETRY_AFTER_S',
    'RefusedWriteError',
    'StatusError',
    'transaction_fields',
    'unavailable',
    'write_with_retry',
)

WRITE_ATTEMPTS = 2

OUTAGE_RETRY_AFTER_S = 1.0


class StatusError(Exception):
    """The store rejected a call without executing it."""

    def __init__(self, status: int) -> None:
        super().__init__(f'status {status}')
        self.status = status


class RefusedWriteError(Exception):
    """The store takes no such write, however often it is repeated."""


async def write_with_retry(
    service: KeyValueService,
    changes: Sequence[KeyChange],
    call: Callable[[], Awaitable[int | None]],
) -> int | None:
    """Write, and retry once if the reply is lost.

    :param call: makes the conditional write of these changes.
    :raises RefusedWriteError: the store takes no such write.
    :raises PlatformUnavailableError: nothing was written.
    :raises WriteUnknownError: the write may have been applied, or may still
        be.
    """
    lost_reply: Exception | None = None
    for _ in range(WRITE_ATTEMPTS):
        try:
            revision = await call()
        except (UpstreamLostError, trio.TooSlowError) as exc:
            lost_reply = exc
        except (
            PeerUnreachableError,
            PlatformUnavailableError,
            StatusError,
        ) as exc:
            _raise_if_not_written(exc, lost_reply)
        else:
            return revision or await _resolve_conflict(
                service, changes, lost_reply
            )
    raise _write_unknown(changes[0], lost_reply)


async def _resolve_conflict(
    service: KeyValueService,
    changes: Sequence[KeyChange],
    lost_reply: Exception | None,
) -> int | None:
    """Find out whether a conflict is with our own earlier attempt.

    :returns: the revision of our own write, or nothing if another writer
        changed a key.
    :raises WriteUnknownError: the store did not respond.
    """
    if lost_reply is None:
        return None
    try:
        return await service.resolve_lost_reply(changes)
    except PlatformUnavailableError as exc:
        raise _write_unknown(changes[0], lost_reply) from exc


def unavailable(exc: Exception) -> PlatformUnavailableError:
    """Return the error of a call that failed or whose outcome is unknown."""
    return PlatformUnavailableError(
        f'call to the store failed: {exc!r}',
        retry_after_s=OUTAGE_RETRY_AFTER_S,
    )


def transaction_fields(changes: Sequence[KeyChange]) -> dict[str, Any]:
    """Return the JSON fields of a conditional write."""
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


def _raise_if_not_written(
    exc: Exception, lost_reply: Exception | None
) -> None:
    """Raise if no earlier attempt at a failed write may have been applied.

    :raises PlatformUnavailableError: nothing was written.
    """
    if lost_reply is None:
        raise unavailable(exc) from exc


def _write_unknown(
    change: KeyChange, lost_reply: Exception | None
) -> WriteUnknownError:
    return WriteUnknownError(
        f'reply to the write of {change.key} was lost: {lost_reply!r}',
        retry_after_s=OUTAGE_RETRY_AFTER_S,
    )
