"""standins.memory_key_value: the key-value service inside one process.

For tests and benches that need its semantics and faults without HTTP.
"""

import collections
import itertools
from collections.abc import AsyncIterator, Sequence

import attrs
import trio

from briarrill.errors import PlatformUnavailableError, WriteUnknownError
from briarrill.transport.key_value import (
    KeyChange,
    KeySnapshot,
    KeyValue,
    KeyValueService,
    WatchEvent,
    WatchProgress,
)

__all__ = ('MemoryKeyValue',)

WATCH_BUFFER = 10_000


@attrs.define(eq=False)
class _Watch:
    prefix: str
    sender: trio.MemorySendChannel[WatchEvent]


class MemoryKeyValue(KeyValueService):
    """Keys in memory.

    :ivar down: refuse all calls and end the watches.
    :ivar lose_replies: writes that take effect and raise.
    :ivar delay_writes: writes that raise and are made by
        :meth:`make_late_writes`.
    """

    def __init__(self) -> None:
        """Start empty."""
        self.revision = 0
        self.calls: collections.Counter[str] = collections.Counter()
        self.lose_replies = 0
        self.delay_writes = 0
        self._is_down = False
        self._entries: dict[str, tuple[KeyValue, int]] = {}
        self._leases: dict[int, int] = {}
        self._lease_ids = itertools.count(1)
        self._watches: set[_Watch] = set()
        self._late: list[Sequence[KeyChange]] = []

    @property
    def down(self) -> bool:
        """Whether calls are refused."""
        return self._is_down

    @down.setter
    def down(self, is_down: bool) -> None:
        self._is_down = is_down
        if is_down:
            for watch in self._watches:
                watch.sender.close()
            self._watches.clear()

    async def read(self, key: str) -> KeyValue | None:
        """Return the key, or nothing."""
        await self._begin('range')
        entry = self._entries.get(key)
        return entry[0] if entry else None

    async def read_prefix(
        self, prefix: str, *, after: str = '', limit: int = 0
    ) -> list[KeyValue]:
        """Return the keys under a prefix in order."""
        await self._begin('range')
        keys = sorted(
            key
            for key in self._entries
            if key.startswith(prefix) and key > after
        )
        return [self._entries[key][0] for key in keys[: limit or None]]

    async def transact(self, changes: Sequence[KeyChange]) -> int | None:
        """Make all changes, or none if a revision is another one."""
        await self._begin('txn')
        if self.delay_writes:
            self.delay_writes -= 1
            self._late.append(changes)
            raise WriteUnknownError('delayed')
        written = self._apply(changes)
        if self.lose_replies:
            self.lose_replies -= 1
            raise WriteUnknownError('reply lost')
        return written

    def make_late_writes(self) -> list[int | None]:
        """Make the writes that were delayed; return their outcomes."""
        late, self._late = self._late, []
        return [self._apply(changes) for changes in late]

    async def grant_lease(self, ttl_s: int) -> int:
        """Create a lease and return its identifier."""
        await self._begin('grant')
        lease_id = next(self._lease_ids)
        self._leases[lease_id] = ttl_s
        return lease_id

    async def keep_lease_alive(self, lease_id: int) -> int:
        """Renew a lease and return its time to live, 0 when it is gone."""
        await self._begin('keepalive')
        return self._leases.get(lease_id, 0)

    async def revoke_lease(self, lease_id: int) -> None:
        """End a lease and delete its keys."""
        await self._begin('revoke')
        self.expire(lease_id)

    def expire(self, lease_id: int) -> None:
        """End a lease as if its time to live had passed."""
        self._leases.pop(lease_id, None)
        held = [
            key
            for key, (_, holder) in self._entries.items()
            if lease_id and holder == lease_id
        ]
        self._apply([KeyChange(key, None) for key in held])

    async def follow_prefix(
        self, prefix: str, min_interval_s: float = 0, after_revision: int = 0
    ) -> AsyncIterator[KeySnapshot | WatchEvent | WatchProgress]:
        """Yield all keys under a prefix at once, then each change."""
        await self._begin('watch')
        sender, receiver = trio.open_memory_channel[WatchEvent](WATCH_BUFFER)
        watch = _Watch(prefix, sender)
        self._watches.add(watch)
        try:
            found = await self.read_prefix(prefix)
            yield KeySnapshot(tuple(found), self.revision)
            async for event in receiver:
                yield event
        finally:
            self._watches.discard(watch)
        raise PlatformUnavailableError('the watch ended')

    async def _begin(self, call: str) -> None:
        self.calls[call] += 1
        await trio.lowlevel.checkpoint()
        if self.down:
            raise PlatformUnavailableError('down')

    def _apply(self, changes: Sequence[KeyChange]) -> int | None:
        if not all(map(self._matches, changes)):
            return None
        self.revision += 1
        for change in changes:
            self._make(change)
        return self.revision

    def _matches(self, change: KeyChange) -> bool:
        entry = self._entries.get(change.key)
        revision = entry[0].mod_revision if entry else 0
        return change.mod_revision in {None, revision}

    def _make(self, change: KeyChange) -> None:
        if change.body is None:
            self._entries.pop(change.key, None)
        else:
            found = KeyValue(change.key, change.body, self.revision)
            self._entries[change.key] = (found, change.lease_id)
        event = WatchEvent(change.key, change.body, self.revision)
        for watch in self._watches:
            if change.key.startswith(watch.prefix):
                watch.sender.send_nowait(event)
