"""standins.memory_key_value: the key-value service in memory, without HTTP.

Tests and benches use it in place of the etcd client and inject faults.
"""

import collections
import itertools
from collections.abc import Sequence

import attrs
import trio

from briarrill.errors import PlatformUnavailableError, WriteUnknownError
from briarrill.transport.key_value import (
    ChangeStream,
    KeyChange,
    KeySnapshot,
    KeyValue,
    KeyValueService,
    WatchEvent,
)

__all__ = ('MemoryKeyValue',)

# undelivered events of one watch; one more raises trio.WouldBlock
WATCH_BUFFER = 10_000


@attrs.define(eq=False)
class _Watch:
    prefix: str
    sender: trio.MemorySendChannel[WatchEvent]


class MemoryKeyValue(KeyValueService):
    """Key-value service in memory that injects faults.

    :ivar calls: number of calls by kind.
    :ivar lose_replies: number of following writes that take effect and
        raise :class:`WriteUnknownError`.
    :ivar delay_writes: number of following writes that raise
        :class:`WriteUnknownError` and take effect in
        :meth:`apply_delayed_writes`.
    """

    def __init__(self) -> None:
        """Start without keys, at revision 0."""
        self.revision = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.lose_replies = 0
        self.delay_writes = 0
        self._is_down = False
        self._entries: dict[str, tuple[KeyValue, int]] = {}
        self._leases: dict[int, int] = {}
        self._lease_ids = itertools.count(1)
        self._watches: set[_Watch] = set()
        self._delayed_writes: list[Sequence[KeyChange]] = []

    @property
    def is_down(self) -> bool:
        """Whether calls raise; assigning True also ends the watches."""
        return self._is_down

    @is_down.setter
    def is_down(self, is_down: bool) -> None:
        self._is_down = is_down
        if is_down:
            for watch in self._watches:
                watch.sender.close()
            self._watches.clear()

    async def read(self, key: str) -> KeyValue | None:
        """Return the key's record, None when it is absent."""
        await self._start_call('range')
        entry = self._entries.get(key)
        return entry[0] if entry else None

    async def read_prefix(
        self, prefix: str, *, after: str = '', limit: int = 0
    ) -> list[KeyValue]:
        """Return the keys under a prefix in order.

        :param after: return only keys that sort after this one.
        :param limit: maximum number of keys, 0 for all.
        """
        await self._start_call('range')
        keys = sorted(
            key
            for key in self._entries
            if key.startswith(prefix) and key > after
        )
        return [self._entries[key][0] for key in keys[: limit or None]]

    async def transact(self, changes: Sequence[KeyChange]) -> int | None:
        """Apply all changes and return the revision.

        Apply none and return None when the revision of a key differs.

        :raises WriteRefusedError: the changes are over the limits.
        :raises WriteUnknownError: an injected fault.
        """
        await self._start_call('txn')
        self.limits.check(changes)
        if self.delay_writes:
            self.delay_writes -= 1
            self._delayed_writes.append(changes)
            raise WriteUnknownError('injected fault: write delayed')
        written = self._apply(changes)
        if self.lose_replies:
            self.lose_replies -= 1
            raise WriteUnknownError('injected fault: reply lost')
        return written

    def apply_delayed_writes(self) -> list[int | None]:
        """Apply the delayed writes; return a revision or None for each."""
        delayed, self._delayed_writes = self._delayed_writes, []
        return [self._apply(changes) for changes in delayed]

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its identifier."""
        await self._start_call('grant')
        lease_id = next(self._lease_ids)
        self._leases[lease_id] = ttl_s
        return lease_id

    async def keep_lease_alive(self, lease_id: int) -> int:
        """Return the lease's time to live in seconds, 0 after its end.

        Leases don't expire by time: tests end them.
        """
        await self._start_call('keepalive')
        return self._leases.get(lease_id, 0)

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        await self._start_call('revoke')
        self.expire_lease(lease_id)

    def expire_lease(self, lease_id: int) -> None:
        """Remove a lease as on expiry and delete its keys."""
        self._leases.pop(lease_id, None)
        leased_keys = [
            key
            for key, (_, attached_lease) in self._entries.items()
            if lease_id and attached_lease == lease_id
        ]
        self._apply([KeyChange(key, None) for key in leased_keys])

    async def follow_prefix(
        self, prefix: str, min_interval_s: float = 0, after_revision: int = 0
    ) -> ChangeStream:
        """Yield a snapshot of the keys under a prefix, then each change.

        Ignores ``min_interval_s`` and ``after_revision``: it pushes changes
        and yields no progress.
        """
        await self._start_call('watch')
        sender, receiver = trio.open_memory_channel[WatchEvent](WATCH_BUFFER)
        watch = _Watch(prefix, sender)
        self._watches.add(watch)
        try:
            records = await self.read_prefix(prefix)
            yield KeySnapshot(tuple(records), self.revision)
            async for event in receiver:
                yield event
        finally:
            self._watches.discard(watch)
        raise PlatformUnavailableError(f'watch on {prefix!r} ended')

    async def _start_call(self, call: str) -> None:
        self.calls[call] += 1
        await trio.lowlevel.checkpoint()
        if self.is_down:
            raise PlatformUnavailableError('key-value service is down')

    def _apply(self, changes: Sequence[KeyChange]) -> int | None:
        if not all(map(self._revision_matches, changes)):
            return None
        self.revision += 1
        for change in changes:
            self._apply_change(change)
        return self.revision

    def _revision_matches(self, change: KeyChange) -> bool:
        entry = self._entries.get(change.key)
        revision = entry[0].mod_revision if entry else 0
        return change.mod_revision in {None, revision}

    def _apply_change(self, change: KeyChange) -> None:
        if change.body is None:
            self._entries.pop(change.key, None)
        else:
            record = KeyValue(change.key, change.body, self.revision)
            self._entries[change.key] = (record, change.lease_id)
        event = WatchEvent(change.key, change.body, self.revision)
        for watch in self._watches:
            if change.key.startswith(watch.prefix):
                watch.sender.send_nowait(event)
