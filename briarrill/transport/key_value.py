"""briarrill.transport.key_value: the contract of the key-value service."""

import abc
from collections.abc import AsyncIterator

import attrs

__all__ = ('KeyValue', 'KeyValueService', 'WatchEvent')


@attrs.frozen
class KeyValue:
    """A key with its value and the revision of its last change."""

    key: str
    body: bytes
    mod_revision: int


@attrs.frozen
class WatchEvent:
    """A change of a key; the value is absent when the key was deleted."""

    key: str
    body: bytes | None
    mod_revision: int


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
        :raises WriteUnknownError: the reply was lost and the key could not
            be read back.
        """

    @abc.abstractmethod
    async def delete(self, key: str, *, mod_revision: int) -> bool:
        """Delete the key if its revision is unchanged."""

    @abc.abstractmethod
    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its identifier."""

    @abc.abstractmethod
    async def keep_lease_alive(self, lease_id: int) -> int:
        """Renew a lease and return its time to live, 0 when it is gone."""

    @abc.abstractmethod
    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""

    @abc.abstractmethod
    def watch(self, prefix: str) -> AsyncIterator[WatchEvent]:
        """Follow changes under a prefix from now on.

        :raises PlatformUnavailableError: the watch ended.
        """
