"""briarrill.transport.key_value: interface of the key-value service."""

import abc
from collections.abc import AsyncGenerator, AsyncIterator, Sequence

import attrs
from eliot import log_message

from ..errors import VersionConflictError, WriteRefusedError
from ..metrics import KEY_VALUE_WRITES_REFUSED

__all__ = (
    'ChangeSource',
    'ChangeStream',
    'KeyChange',
    'KeySnapshot',
    'KeyValue',
    'KeyValueService',
    'TransactionLimits',
    'WatchEvent',
    'WatchProgress',
    'record_refused_write',
)


# limits of one transaction that every service keeps to
COMMON_MAX_TRANSACTION_ENTRIES = 32
COMMON_MAX_VALUE_BYTES = 1_000_000


@attrs.frozen
class KeyValue:
    """A key with its value and the revision of its last change.

    :param body: value of the key.
    """

    key: str
    body: bytes
    mod_revision: int


@attrs.frozen
class KeyChange:
    """Write or delete of one key in a transaction.

    :param body: new value, None to delete the key.
    :param mod_revision: expected revision, 0 if the key must not exist,
        None to change the key without a comparison.
    :param lease_id: lease whose end deletes the key, default none.
    """

    key: str
    body: bytes | None
    mod_revision: int | None = None
    lease_id: int = 0

    @property
    def entries(self) -> int:
        """Return the number of entries of a transaction that it takes.

        The change is one, and the comparison of its revision another one.
        """
        return 1 if self.mod_revision is None else 2


@attrs.frozen
class TransactionLimits:
    """Limits of a key-value service on one transaction.

    :param max_entries: changes and comparisons, counted together.
    :param max_value_bytes: size of each value.
    """

    max_entries: int
    max_value_bytes: int

    def count_leading(self, changes: Sequence[KeyChange]) -> int:
        """Return how many of the first changes fit into one transaction."""
        entries = 0
        for count, change in enumerate(changes):
            entries += change.entries
            if entries > self.max_entries or not self._fits(change):
                return count
        return len(changes)

    def check(self, changes: Sequence[KeyChange]) -> None:
        """Check that the changes fit into one transaction.

        :raises WriteRefusedError: they do not.
        """
        entries = sum(change.entries for change in changes)
        if entries > self.max_entries:
            raise record_refused_write(
                changes,
                f'{entries} entries in one transaction;'
                f' allowed: {self.max_entries}',
            )
        for change in changes:
            if not self._fits(change):
                raise record_refused_write(
                    changes,
                    f'{len(change.body or b"")} bytes in {change.key!r};'
                    f' allowed: {self.max_value_bytes}',
                )

    def _fits(self, change: KeyChange) -> bool:
        """Whether the value of a change is within its limit."""
        return len(change.body or b'') <= self.max_value_bytes


@attrs.frozen
class WatchEvent:
    """Change of a key; ``body`` is None when the key was deleted."""

    key: str
    body: bytes | None
    mod_revision: int


@attrs.frozen
class WatchProgress:
    """Progress of a watch: all changes up to a revision were yielded."""

    revision: int


@attrs.frozen
class KeySnapshot:
    """All keys under a prefix; a key that is not in it does not exist.

    :param revision: last revision that the snapshot includes, default
        unknown.
    :param is_consistent: whether the keys are those of one revision.
        Otherwise keys may have changed while others were read, and the next
        :class:`WatchProgress` follows at once.
    """

    entries: tuple[KeyValue, ...]
    revision: int = 0
    is_consistent: bool = True


#: What a followed prefix yields; it must be closed after use.
ChangeStream = AsyncGenerator[KeySnapshot | WatchEvent | WatchProgress, None]


class ChangeSource(abc.ABC):
    """Interface of what yields the changes of keys."""

    @abc.abstractmethod
    def follow_prefix(
        self, prefix: str, min_interval_s: float = 0, after_revision: int = 0
    ) -> ChangeStream:
        """Yield a snapshot of a prefix, then each change of its keys.

        :param min_interval_s: minimum interval between two calls to the
            service, for changes that are not urgent; default none. A service
            that pushes changes makes one call and ignores it.
        :param after_revision: revision of an earlier :class:`WatchProgress`
            from which to resume without a snapshot, default none. A service
            that yields no progress ignores it.

        Another snapshot follows when changes may have been missed. Changes
        that a snapshot includes may be yielded again with old revisions.

        :raises PlatformUnavailableError: the watch ended.
        """


class KeyValueService(ChangeSource):
    """Interface of a key-value service with leases and watches.

    Each call counts against the service's rate limits; an open watch counts
    as one call.

    :ivar limits: of one transaction; by default what every service takes.
    """

    limits = TransactionLimits(
        COMMON_MAX_TRANSACTION_ENTRIES, COMMON_MAX_VALUE_BYTES
    )

    @abc.abstractmethod
    async def read(self, key: str) -> KeyValue | None:
        """Return the key with its value, or None if it does not exist.

        :raises PlatformUnavailableError: the service did not respond.
        """

    @abc.abstractmethod
    async def read_prefix(
        self, prefix: str, *, after: str = '', limit: int = 0
    ) -> list[KeyValue]:
        """Return the keys under a prefix in key order.

        :param after: skip keys up to and including this one, default none.
        :param limit: return at most this many keys, default all.
        :raises PlatformUnavailableError: the service did not respond.
        """

    @abc.abstractmethod
    async def transact(self, changes: Sequence[KeyChange]) -> int | None:
        """Apply all changes, or none if a revision does not match.

        A lost reply is resolved by :meth:`resolve_lost_reply`. A change
        without an expected revision may take effect long after its call, over
        newer values; :meth:`overwrite` does not.

        :return: the new revision, or None if a key's revision was not
            the expected one.
        :raises WriteRefusedError: nothing was written, and the same changes
            will be refused again.
        :raises PlatformUnavailableError: nothing was or will be written.
        :raises WriteUnknownError: the reply was lost and could not be
            resolved; the changes may have been applied, or may still be.
        """

    async def compare_and_swap(
        self,
        key: str,
        body: bytes,
        *,
        mod_revision: int,
        lease_id: int = 0,
    ) -> int | None:
        """Write the key if it still has the expected revision.

        :param mod_revision: expected revision, 0 if the key must not exist.
        :param lease_id: lease whose end deletes the key, default none.
        :return: the new revision, or None if the revision did not match.
        :raises PlatformUnavailableError: nothing was written.
        :raises WriteUnknownError: the reply was lost and could not be
            resolved.
        """
        change = KeyChange(key, body, mod_revision, lease_id)
        return await self.transact([change])

    async def delete(self, key: str, *, mod_revision: int) -> bool:
        """Delete the key if it still has the expected revision.

        :return: whether the key was deleted.
        :raises PlatformUnavailableError: nothing was deleted.
        :raises WriteUnknownError: the reply was lost and could not be
            resolved.
        """
        change = KeyChange(key, None, mod_revision)
        return await self.transact([change]) is not None

    async def overwrite(
        self, key: str, body: bytes, *, lease_id: int = 0
    ) -> int:
        """Write a key whatever its value is now.

        The write is conditional, so that one whose reply was lost cannot
        take effect after a later one.

        :param lease_id: lease whose end deletes the key, default none.
        :return: the new revision.
        :raises VersionConflictError: another writer changed the key meanwhile.
        :raises PlatformUnavailableError: nothing was written.
        :raises WriteUnknownError: the reply was lost and could not be
            resolved.
        """
        present = await self.read(key)
        revision = await self.compare_and_swap(
            key,
            body,
            mod_revision=present.mod_revision if present else 0,
            lease_id=lease_id,
        )
        if revision is None:
            raise VersionConflictError(f'{key!r} was changed meanwhile')
        return revision

    async def resolve_lost_reply(
        self, changes: Sequence[KeyChange]
    ) -> int | None:
        """Read all keys back to find out whether a write took effect.

        One key does not tell: another process may have written the same value
        there, and something else under the other keys. If all are the same,
        the outcome is that of this write, whoever made it.

        :param changes: the write whose reply was lost.
        :return: the newest revision of the keys, 0 if all are deleted, or
            None if a key has another writer's value.
        :raises PlatformUnavailableError: the service did not respond.
        """
        revision = 0
        for change in changes:
            entry = await self.read(change.key)
            body = None if entry is None else entry.body
            if body != change.body:
                return None
            if entry is not None:
                revision = max(revision, entry.mod_revision)
        return revision

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease of ``ttl_s`` seconds and return its identifier."""

    @abc.abstractmethod
    async def keep_lease_alive(self, lease_id: int) -> int:
        """Renew a lease; return its TTL in seconds, 0 if it has expired."""

    @abc.abstractmethod
    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease, which deletes the keys attached to it."""

    async def watch(self, prefix: str) -> AsyncIterator[WatchEvent]:
        """Yield the keys under a prefix, then each change, as events.

        A change that is made while the watch starts may be yielded twice.

        :raises PlatformUnavailableError: the watch ended.
        """
        async for change in self.follow_prefix(prefix):
            if isinstance(change, WatchEvent):
                yield change
            elif isinstance(change, KeySnapshot):
                for entry in change.entries:
                    yield WatchEvent(entry.key, entry.body, entry.mod_revision)


def record_refused_write(
    changes: Sequence[KeyChange], reason: str
) -> WriteRefusedError:
    """Log and count a write that cannot succeed; return its error."""
    KEY_VALUE_WRITES_REFUSED.inc()
    log_message(
        'key-value:write-refused',
        key=changes[0].key,
        changes=len(changes),
        reason=reason,
    )
    return WriteRefusedError(f'write of {changes[0].key!r}: {reason}')
