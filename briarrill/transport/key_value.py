"""briarrill.transport.key_value: the contract of the key-value service."""

import abc
from collections.abc import AsyncIterator, Sequence

import attrs

__all__ = (
    'KeyChange',
    'KeyPosition',
    'KeySnapshot',
    'KeyValue',
    'KeyValueService',
    'WatchEvent',
)


@attrs.frozen
class KeyValue:
    """A key with its value and the revision of its last change."""

    key: str
    body: bytes
    mod_revision: int


@attrs.frozen
class KeyChange:
    """A write or delete of one key in a transaction.

    :param body: the new value, absent to delete the key.
    :param mod_revision: revision the writer saw, 0 for no such key, absent
        to change the key whatever its revision is.
    :param lease_id: lease that deletes the key when it ends, default none.
    """

    key: str
    body: bytes | None
    mod_revision: int | None = None
    lease_id: int = 0


@attrs.frozen
class WatchEvent:
    """A change of a key; the value is absent when the key was deleted."""

    key: str
    body: bytes | None
    mod_revision: int


@attrs.frozen
class KeyPosition:
    """All changes up to a revision have been yielded."""

    revision: int


@attrs.frozen
class KeySnapshot:
    """All keys under a prefix; what it lacks does not exist any more.

    :param revision: all changes up to this one are in it, default unknown.
    """

    entries: tuple[KeyValue, ...]
    revision: int = 0


class KeyValueService(abc.ABC):
    """Compare-and-swap, leases and watches.

    Each call counts against the service's rates, a waiting watch as one.
    """

    @abc.abstractmethod
    async def read(self, key: str) -> KeyValue | None:
        """Return the key, or nothing.

        :raises PlatformUnavailableError: the service did not answer.
        """

    @abc.abstractmethod
    async def read_prefix(
        self, prefix: str, *, after: str = '', limit: int = 0
    ) -> list[KeyValue]:
        """Return the keys under a prefix in order.

        :param after: skip keys up to and including this one, default none.
        :param limit: return at most this many, default all.
        """

    @abc.abstractmethod
    async def transact(self, changes: Sequence[KeyChange]) -> int | None:
        """Make all changes, or none if a revision is another one.

        The first change must write a value of its own, so that a lost reply
        can be resolved by reading its key back, or be the only one.

        :return: the new revision, or nothing when another writer was first.
        :raises PlatformUnavailableError: nothing was written, now or later.
        :raises WriteUnknownError: the reply was lost and not resolved; the
            changes may have been made or may still be.
        """

    async def compare_and_swap(
        self,
        key: str,
        body: bytes,
        *,
        mod_revision: int,
        lease_id: int = 0,
    ) -> int | None:
        """Write the key if its revision is unchanged.

        :param mod_revision: revision the writer saw, 0 for no such key.
        :param lease_id: lease that deletes the key when it ends, default
            none.
        :return: the new revision, or nothing when another writer was first.
        :raises PlatformUnavailableError: nothing was written.
        :raises WriteUnknownError: the reply was lost and not resolved.
        """
        change = KeyChange(key, body, mod_revision, lease_id)
        return await self.transact([change])

    async def delete(self, key: str, *, mod_revision: int) -> bool:
        """Delete the key if its revision is unchanged."""
        change = KeyChange(key, None, mod_revision)
        return await self.transact([change]) is not None

    async def find_own_write(self, change: KeyChange) -> int | None:
        """Tell an own write whose reply was lost from another writer's.

        :return: its revision, or nothing when another writer was first.
        :raises PlatformUnavailableError: the service did not answer.
        """
        found = await self.read(change.key)
        if found is None:
            return 0 if change.body is None else None
        return found.mod_revision if found.body == change.body else None

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its identifier."""

    @abc.abstractmethod
    async def keep_lease_alive(self, lease_id: int) -> int:
        """Renew a lease and return its time to live, 0 when it is gone."""

    @abc.abstractmethod
    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""

    async def watch(self, prefix: str) -> AsyncIterator[WatchEvent]:
        """Yield the keys under a prefix, then each change.

        A change that comes while the watch starts may be seen twice.

        :raises PlatformUnavailableError: the watch ended.
        """
        async for change in self.follow(prefix):
            if isinstance(change, WatchEvent):
                yield change
            elif isinstance(change, KeySnapshot):
                for found in change.entries:
                    yield WatchEvent(found.key, found.body, found.mod_revision)

    @abc.abstractmethod
    def follow(
        self, prefix: str, pace_s: float = 0, after: int = 0
    ) -> AsyncIterator[KeySnapshot | WatchEvent | KeyPosition]:
        """Yield all keys under a prefix at once, then each change.

        :param pace_s: shortest time between two calls to the service, for
            changes that need not be seen at once; default none. A service
            that pushes changes makes one call and ignores it.
        :param after: position of an earlier call from which to go on without
            all keys, default none. A service that yields no positions
            ignores it.

        Another snapshot follows when changes may have been missed. Changes
        that a snapshot holds may be seen again, with their old revisions.

        :raises PlatformUnavailableError: the watch ended.
        """
