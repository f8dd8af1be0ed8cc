"""briarrill.coordination.acceptance: the chain of configuration versions.

The newest record stands under one key and each record under a key of its
own. Both are written by one transaction, compared with what the operator
saw, so a version is in the history exactly if it was accepted.
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
from ..state.config_changes import describe_changes
from ..state.contracts import (
    Configuration,
    decode_configuration,
    encode_configuration,
)
from ..state.keys import CONFIG_HEAD, CONFIG_HISTORY, config_version_key
from ..transport.key_value import KeyChange, KeyValueService
from .configuration import ConfigRecord, decode_config_record

__all__ = ('accept_version', 'read_head', 'read_history', 'read_version')

# the key-value service holds values up to a megabyte
MAX_RECORD_BYTES = 1_000_000

# versions that the history keeps
HISTORY_VERSIONS = 1000

# pauses between attempts to resolve a write whose reply was lost
RESOLVE_PAUSES_S = (0.2, 0.4, 0.8, 1.6)

# changes that a conflict shows
MAX_SHOWN_CHANGES = 20


async def read_head(service: KeyValueService) -> tuple[bytes, int]:
    """Return the newest stored record and its revision.

    The record is empty and the revision 0 when there is none.
    """
    head = await service.read(CONFIG_HEAD)
    if head is None:
        return b'', 0
    return head.body, head.mod_revision


async def read_version(
    service: KeyValueService, version: int
) -> ConfigRecord | None:
    """Return one version of the history, or nothing."""
    found = await service.read(config_version_key(version))
    return decode_config_record(found.body) if found else None


async def read_history(
    service: KeyValueService, limit: int
) -> list[ConfigRecord]:
    """Return the newest versions, the oldest of them first."""
    raw, _ = await read_head(service)
    newest = decode_config_record(raw).version if raw else 0
    found = await service.read_prefix(
        CONFIG_HISTORY,
        after=config_version_key(max(0, newest - limit)),
    )
    return [decode_config_record(record.body) for record in found]


async def accept_version(
    service: KeyValueService,
    cfg: Configuration,
    base_version: int,
    *,
    author: str,
    created_at: int,
) -> bytes:
    """Write the version after ``base_version``; return its stored form.

    :raises ConfigurationError: the configuration is invalid or too large.
    :raises VersionConflictError: the newest version is another one; the
        message shows what it changed.
    :raises PlatformUnavailableError: the service is down; nothing was
        written.
    :raises WriteUnknownError: the reply was lost and could not be resolved.
    """
    body = encode_configuration(cfg)
    decode_configuration(body)
    raw, revision = await read_head(service)
    newest = decode_config_record(raw).version if raw else 0
    if newest != base_version:
        raise await _conflict(service, base_version)
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
            f'the record takes {len(stored)} bytes;'
            f' allowed: {MAX_RECORD_BYTES}'
        )
    if not await _write(service, record, stored, revision):
        raise await _conflict(service, base_version)
    return stored


async def _write(
    service: KeyValueService, record: ConfigRecord, raw: bytes, revision: int
) -> bool:
    """Write a record once; return whether it was the first on its base.

    Repeating the transaction is safe: its comparisons let it take effect
    once, also when an earlier attempt is delayed and comes late.
    """
    changes = _changes(record.version, raw, revision)
    lost: WriteUnknownError | None = None
    for pause_s in (*RESOLVE_PAUSES_S, 0):
        try:
            return await _try_write(service, record, changes, lost)
        except WriteUnknownError as exc:
            lost = exc
        await trio.sleep(pause_s)
    raise WriteUnknownError(
        f'version {record.version} may be accepted or may still be;'
        f' look for mark {record.writer} in the history: {lost}',
        retry_after_s=lost.retry_after_s if lost else None,
    )


async def _try_write(
    service: KeyValueService,
    record: ConfigRecord,
    changes: list[KeyChange],
    lost: WriteUnknownError | None,
) -> bool:
    """Try once; return whether the record is in the chain.

    :param lost: error of an earlier attempt that may have taken effect.
    """
    try:
        written = await service.transact(changes)
        if written is None and lost is not None:
            return await _is_own(service, record)
    except PlatformUnavailableError as exc:
        raise lost or exc from exc
    return written is not None


def _changes(version: int, raw: bytes, revision: int) -> list[KeyChange]:
    changes = [
        KeyChange(config_version_key(version), raw, mod_revision=0),
        KeyChange(CONFIG_HEAD, raw, mod_revision=revision),
    ]
    oldest = version - HISTORY_VERSIONS
    if oldest > 0:
        changes.append(KeyChange(config_version_key(oldest), None))
    return changes


async def _is_own(service: KeyValueService, record: ConfigRecord) -> bool:
    stored = await read_version(service, record.version)
    return stored is not None and stored.writer == record.writer


async def _conflict(
    service: KeyValueService, base_version: int
) -> VersionConflictError:
    """Return the error that shows what others changed since the base."""
    raw, _ = await read_head(service)
    if not raw:
        return VersionConflictError(
            f'based on version {base_version}, but there is none yet'
        )
    newest = decode_config_record(raw)
    base = await read_version(service, base_version)
    lines = describe_changes(
        decode_configuration(base.body) if base else Configuration(),
        decode_configuration(newest.body),
    )
    shown = '\n  '.join(lines[:MAX_SHOWN_CHANGES])
    return VersionConflictError(
        f'based on version {base_version}, the newest is {newest.version}'
        f' by {newest.author}; changed since:\n  {shown}'
    )
