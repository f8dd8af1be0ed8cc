"""briarrill.coordination.acceptance: write and read configuration versions.

The newest record is stored under the head key and each record also under a
key of its version. One transaction writes both and fails if the head is no
longer the version that the operator based the change on, so the history
holds exactly the accepted versions.
"""

import uuid

import msgspec
import trio

from ..errors import (
    ConfigurationError,
    PlatformUnavailableError,
    VersionConflictError,
    WriteUnknownError,
)
from ..state.config_changes import list_configuration_changes
from ..state.contracts import (
    Configuration,
    decode_configuration,
    encode_configuration,
)
from ..state.keys import (
    CONFIG_HEAD_KEY,
    CONFIG_HISTORY_PREFIX,
    config_version_key,
)
from ..transport.key_value import KeyChange, KeyValueService
from .configuration import ConfigRecord, decode_config_record

__all__ = ('accept_version', 'read_head', 'read_history', 'read_version')

# the key-value service limits values to one megabyte
MAX_RECORD_BYTES = 1_000_000

# number of versions that the history keeps; older ones are deleted
MAX_HISTORY_VERSIONS = 1000

# pauses between attempts to resolve a write whose reply was lost
RESOLVE_PAUSES_S = (0.2, 0.4, 0.8, 1.6)

# number of changes that the message of a version conflict lists
MAX_SHOWN_CHANGES = 20


async def read_head(service: KeyValueService) -> tuple[bytes, int]:
    """Return the encoded newest record and its store revision.

    Without a record, they are empty and 0.
    """
    head = await service.read(CONFIG_HEAD_KEY)
    if head is None:
        return b'', 0
    return head.body, head.mod_revision


async def read_version(
    service: KeyValueService, version: int
) -> ConfigRecord | None:
    """Return the record of a version, or none if the history lacks it."""
    entry = await service.read(config_version_key(version))
    return decode_config_record(entry.body) if entry else None


async def read_history(
    service: KeyValueService, limit: int
) -> list[ConfigRecord]:
    """Return the newest ``limit`` records, in ascending version order."""
    raw, _ = await read_head(service)
    newest = decode_config_record(raw).version if raw else 0
    entries = await service.read_prefix(
        CONFIG_HISTORY_PREFIX,
        after=config_version_key(max(0, newest - limit)),
    )
    return [decode_config_record(record.body) for record in entries]


async def accept_version(
    service: KeyValueService,
    cfg: Configuration,
    base_version: int,
    *,
    author: str,
    created_at: int,
) -> bytes:
    """Write the version after ``base_version``; return its encoded record.

    :param created_at: Unix time in seconds.
    :raises ConfigurationError: the configuration is invalid or too large.
    :raises VersionConflictError: the newest version is not the base; the
        message lists what changed since the base.
    :raises PlatformUnavailableError: the service is down; nothing was
        written.
    :raises WriteUnknownError: the reply was lost, and whether the write took
        effect could not be determined.
    """
    body = encode_configuration(cfg)
    decode_configuration(body)
    raw, revision = await read_head(service)
    newest = decode_config_record(raw).version if raw else 0
    if newest != base_version:
        raise await _conflict_error(service, base_version)
    record = ConfigRecord(
        version=newest + 1,
        parent=newest,
        writer=uuid.uuid4().hex,
        author=author,
        created_at=created_at,
        body=body,
    )
    stored = msgspec.json.encode(record)
    if len(stored) > MAX_RECORD_BYTES:
        raise ConfigurationError(
            f'the configuration record takes {len(stored)} bytes;'
            f' allowed: {MAX_RECORD_BYTES}'
        )
    if not await _write(service, record, stored, revision):
        raise await _conflict_error(service, base_version)
    return stored


async def _write(
    service: KeyValueService, record: ConfigRecord, raw: bytes, revision: int
) -> bool:
    """Write a record; return whether no other one was written on its base.

    The transaction is retried while replies are lost. That is safe: its
    comparisons let it take effect at most once, even if an earlier attempt
    arrives late.

    :raises WriteUnknownError: the reply to the last attempt was lost too.
    """
    changes = _record_changes(record.version, raw, revision)
    lost_reply: WriteUnknownError | None = None
    for pause_s in (*RESOLVE_PAUSES_S, 0):
        try:
            return await _attempt_write(service, record, changes, lost_reply)
        except WriteUnknownError as exc:
            lost_reply = exc
        await trio.sleep(pause_s)
    raise WriteUnknownError(
        f'version {record.version} may have been accepted or may still be;'
        f' look for writer {record.writer} in the history: {lost_reply}',
        retry_after_s=lost_reply.retry_after_s if lost_reply else None,
    )


async def _attempt_write(
    service: KeyValueService,
    record: ConfigRecord,
    changes: list[KeyChange],
    lost_reply: WriteUnknownError | None,
) -> bool:
    """Attempt the write once; return whether the record is in the history.

    :param lost_reply: error of an earlier attempt that may have taken effect.
    :raises WriteUnknownError: the reply was lost, or the service went down
        after the reply to an earlier attempt was lost.
    """
    try:
        written = await service.transact(changes)
        if written is None and lost_reply is not None:
            return await _was_written_by(service, record)
    except PlatformUnavailableError as exc:
        raise lost_reply or exc from exc
    return written is not None


def _record_changes(
    version: int, raw: bytes, revision: int
) -> list[KeyChange]:
    """Return the key changes that write a record and trim the history.

    :param revision: store revision that the head must have, 0 for none.
    """
    changes = [
        KeyChange(config_version_key(version), raw, mod_revision=0),
        KeyChange(CONFIG_HEAD_KEY, raw, mod_revision=revision),
    ]
    oldest = version - MAX_HISTORY_VERSIONS
    if oldest > 0:
        changes.append(KeyChange(config_version_key(oldest), None))
    return changes


async def _was_written_by(
    service: KeyValueService, record: ConfigRecord
) -> bool:
    stored = await read_version(service, record.version)
    return stored is not None and stored.writer == record.writer


async def _conflict_error(
    service: KeyValueService, base_version: int
) -> VersionConflictError:
    """Return a conflict error that lists the changes since the base."""
    raw, _ = await read_head(service)
    if not raw:
        return VersionConflictError(
            f'based on version {base_version}, but no version exists yet'
        )
    newest = decode_config_record(raw)
    base = await read_version(service, base_version)
    lines = list_configuration_changes(
        decode_configuration(base.body) if base else Configuration(),
        decode_configuration(newest.body),
    )
    shown = '\n  '.join(lines[:MAX_SHOWN_CHANGES])
    return VersionConflictError(
        f'based on version {base_version}, the newest is {newest.version}'
        f' by {newest.author}; changed since:\n  {shown}'
    )
