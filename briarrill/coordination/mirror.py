"""briarrill.coordination.mirror: a local copy of keys in the service.

A copy that falls silent is found by what peers have seen: they tell the
revision of their newest change, and a copy that stays behind asks anew for
what it lacks. All keys are read only when the service has forgotten it.
"""

import abc
import math
import random
import time

import attrs
import trio
from eliot import log_message

from ..errors import PlatformUnavailableError
from ..transport.key_value import (
    KeyPosition,
    KeySnapshot,
    KeyValue,
    KeyValueService,
    WatchEvent,
)

__all__ = ('Mirror', 'MirrorChanges', 'MirrorUser')

# pauses between attempts while the service is away; they double, and a
# random part of each is left out so that processes spread out
FIRST_PAUSE_S = 0.1
MAX_PAUSE_S = 1.0
MIN_JITTER = 0.5

# time in which a change that a peer has seen must have arrived here too
MAX_LAG_S = 0.3

LAG_CHECK_S = 0.1


@attrs.frozen
class MirrorChanges:
    """What one mirror has seen more than another.

    :param keys: all keys that exist.
    :param changed: those whose value may be new to the other.
    """

    keys: tuple[str, ...]
    changed: tuple[KeyValue, ...]


class MirrorUser(abc.ABC):
    """Takes what a mirror finds."""

    @abc.abstractmethod
    def take_key(self, key: str, body: bytes | None) -> None:
        """Take the newest value of a key, none when it was deleted."""


class Mirror:
    """Keys under a prefix as last seen.

    :ivar revision: newest change that was seen under the prefix.

    :param user: told of each change, once.
    :param pace_s: shortest time between two watches; changes that come in
        between arrive together, default none.
    :param keeps_bodies: whether peers may take the keys from here.
    """

    def __init__(
        self,
        service: KeyValueService,
        prefix: str,
        user: MirrorUser,
        pace_s: float = 0,
        *,
        keeps_bodies: bool = False,
    ) -> None:
        """Start empty."""
        self.revision = 0
        self.synced = trio.Event()
        self.is_connected = False
        self.back_since = time.monotonic()
        self._service = service
        self._prefix = prefix
        self._user = user
        self._pace_s = pace_s
        self._revisions: dict[str, int] = {}
        self._keeps_bodies = keeps_bodies
        self._bodies: dict[str, bytes] = {}
        self._scope = trio.CancelScope()
        self._peer_revision = 0
        self._covered = 0
        self._position = 0
        self._is_asking = False
        self._behind_since = math.inf

    @property
    def is_behind(self) -> bool:
        """Whether peers have seen more for longer than a change takes."""
        return time.monotonic() - self._behind_since > MAX_LAG_S

    def is_settled(self, after_s: float) -> bool:
        """Tell whether the service has been followed for some time."""
        since_s = time.monotonic() - self.back_since
        return self.is_connected and since_s >= after_s

    def hear_revision(self, revision: int) -> None:
        """Take the revision of a peer's newest change."""
        self._peer_revision = max(self._peer_revision, revision)

    def changes_after(self, revision: int) -> MirrorChanges:
        """Return what a peer lacks that has seen up to a revision."""
        changed = [
            KeyValue(key, body, self._revisions[key])
            for key, body in self._bodies.items()
            if self._revisions[key] > revision
        ]
        return MirrorChanges(tuple(self._bodies), tuple(changed))

    def take_changes(self, changes: MirrorChanges) -> None:
        """Take what a peer has seen more."""
        for key in set(self._revisions).difference(changes.keys):
            self._forget(key)
            self._user.take_key(key, None)
        for entry in changes.changed:
            self._take(WatchEvent(entry.key, entry.body, entry.mod_revision))
        self.synced.set()

    async def run(self) -> None:
        """Follow the keys until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_lag)
            pause_s = FIRST_PAUSE_S
            while True:
                await self._follow_until_lost(pause_s)
                pause_s = min(MAX_PAUSE_S, pause_s * 2)
                if self.is_connected:
                    pause_s = FIRST_PAUSE_S

    async def _follow_until_lost(self, pause_s: float) -> None:
        """Follow until the service is lost, then pause, or until behind."""
        scope = trio.CancelScope()
        self._scope = scope
        with scope:
            try:
                await self._follow()
            except PlatformUnavailableError as exc:
                self._lose(exc.message)
                await trio.sleep(pause_s * random.uniform(MIN_JITTER, 1))

    async def _follow(self) -> None:
        self._is_asking = True
        changes = self._service.follow(
            self._prefix, self._pace_s, self._position
        )
        async for change in changes:
            self._is_asking = False
            if isinstance(change, KeySnapshot):
                self._take_snapshot(change)
            elif isinstance(change, KeyPosition):
                self._reach(change.revision)
            else:
                self._take(change)

    def _take_snapshot(self, snapshot: KeySnapshot) -> None:
        keys = tuple(entry.key for entry in snapshot.entries)
        self.take_changes(MirrorChanges(keys, snapshot.entries))
        self._reach(snapshot.revision)

    def _reach(self, revision: int) -> None:
        """Take that all changes up to a revision were seen.

        A deleted key's revision is in no entry.
        """
        self._position = revision
        self._covered = max(self._covered, revision)
        if not self.is_connected:
            self.back_since = time.monotonic()
            log_message(
                'mirror:synced', prefix=self._prefix, keys=len(self._revisions)
            )
        self.is_connected = True

    def _take(self, event: WatchEvent) -> None:
        self.revision = max(self.revision, event.mod_revision)
        if event.mod_revision <= self._revisions.get(event.key, 0):
            return
        if event.body is None:
            self._forget(event.key)
        else:
            self._revisions[event.key] = event.mod_revision
            if self._keeps_bodies:
                self._bodies[event.key] = event.body
        self._user.take_key(event.key, event.body)

    def _forget(self, key: str) -> None:
        self._revisions.pop(key, None)
        self._bodies.pop(key, None)

    def _lose(self, reason: str) -> None:
        if self.is_connected:
            log_message('mirror:lost', prefix=self._prefix, reason=reason)
        self.is_connected = False

    async def _watch_lag(self) -> None:
        """Ask anew when peers have seen more for some time."""
        asked_at = -math.inf
        while True:
            await trio.sleep(LAG_CHECK_S)
            now = time.monotonic()
            if not self._lacks:
                self._behind_since = math.inf
                continue
            self._behind_since = min(self._behind_since, now)
            waited_s = now - max(self._behind_since, asked_at)
            if waited_s > MAX_LAG_S + self._pace_s and not self._is_asking:
                log_message('mirror:behind', prefix=self._prefix)
                asked_at = now
                self._is_asking = True
                self._scope.cancel()

    @property
    def _lacks(self) -> bool:
        """Whether peers have seen more than this copy, which follows too."""
        covered = max(self._covered, self.revision)
        return self.is_connected and self._peer_revision > covered
