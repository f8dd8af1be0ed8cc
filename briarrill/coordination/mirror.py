"""briarrill.coordination.mirror: local copy of keys in the key-value service.

A watch may stop delivering changes without an error. So peers report the
revision of their newest change, and a mirror that stays behind it restarts
its watch from its last position. It reads all keys again only if the service
has discarded the changes since that position.
"""

import abc
import collections
import math
import operator
import random
import time

import attrs
import trio
from eliot import log_message

from ..errors import PlatformUnavailableError
from ..transport.key_value import (
    ChangeSource,
    KeySnapshot,
    KeyValue,
    WatchEvent,
    WatchProgress,
)
from ..transport.task_errors import log_unexpected_errors
from .followed_time import FollowedTime

__all__ = ('Mirror', 'MirrorChanges', 'MirrorListener')

# pauses between attempts while the service is unreachable; they double, and
# each is multiplied by a random factor that spreads the processes
FIRST_RETRY_PAUSE_S = 0.1
MAX_RETRY_PAUSE_S = 0.5
MIN_JITTER_FACTOR = 0.5

# time within which a change that a peer has received must also reach this
# mirror; a mirror that lags for longer restarts its watch
MAX_LAG_S = 0.3

LAG_CHECK_INTERVAL_S = 0.1

# time without the service that counts as an outage. A watch that is cut and
# continued sooner has missed nothing, and no live lease ends within it: leases
# last three intervals of 1.2 s between their renewals
MIN_OUTAGE_S = 1.0

# recent changes that a mirror offers to peers that follow it
MAX_RECENT_CHANGES = 8192


@attrs.frozen
class MirrorChanges:
    """Changes that one mirror has received and another may lack.

    :param keys: all existing keys; the receiver deletes the others.
    :param changed: keys with values that may be new to the receiver.
    :param revision: up to which the sender lacks no change, none if it does
        not say.
    """

    keys: tuple[str, ...]
    changed: tuple[KeyValue, ...]
    revision: int | None = None


class MirrorListener(abc.ABC):
    """Receives the changes of a mirror's keys."""

    @abc.abstractmethod
    def apply_key(self, key: str, body: bytes | None) -> None:
        """Process the newest value of a key, none if it was deleted."""


class Mirror:
    """Follows the keys under a prefix.

    :ivar revision: revision of the newest change received.
    :ivar advanced: set, and replaced, when the position advances.
    :ivar synced: set after all keys were received once.
    :ivar is_connected: whether the watch on the service works.
    :ivar has_failed: whether a call to the service has failed since it last
        was connected.
    :ivar followed: time during which the watch worked.
    :ivar connected_since: monotonic time at which the last outage of the
        service ended.

    :param listener: called once for each change.
    :param min_interval_s: shortest time between two watches, default 0;
        changes in between arrive together.
    :param stores_bodies: store the values too, so that peers can fetch them.
    """

    def __init__(
        self,
        service: ChangeSource,
        prefix: str,
        listener: MirrorListener,
        min_interval_s: float = 0,
        *,
        stores_bodies: bool = False,
    ) -> None:
        """Start without keys."""
        self.revision = 0
        self.advanced = trio.Event()
        self.synced = trio.Event()
        self.is_connected = False
        self.has_failed = False
        self.connected_since = time.monotonic()
        self.followed = FollowedTime()
        self._disconnected_at = -math.inf
        self._service = service
        self._prefix = prefix
        self._listener = listener
        self._min_interval_s = min_interval_s
        self._revisions: dict[str, int] = {}
        self._stores_bodies = stores_bodies
        self._bodies: dict[str, bytes] = {}
        self._recent_changes: collections.deque[tuple[int, str]] = (
            collections.deque(maxlen=MAX_RECENT_CHANGES)
        )
        self._recent_since = 0
        self._follow_scope = trio.CancelScope()
        self._coverage = _Coverage()
        self._resume_revision = 0
        self._awaits_first_change = False

    @property
    def is_behind(self) -> bool:
        """Whether others may know changes that this mirror lacks.

        They may while it does not follow the service, and while it lacks what
        a peer reported over ``MAX_LAG_S`` ago, also before it connected.
        """
        if not self.is_connected:
            return True
        return time.monotonic() - self._coverage.missing_since > MAX_LAG_S

    def is_recent(self, max_age_s: float) -> bool:
        """Whether it has all changes but those of the last ``max_age_s``.

        As far as it and its peers know; a cut watch that goes on sooner, or a
        change that is on its way, does not matter.
        """
        if not self.synced.is_set():
            return False
        now = time.monotonic()
        old_since = self._coverage.missing_since
        if not self.is_connected:
            old_since = min(old_since, self._disconnected_at)
        return now - old_since <= max_age_s

    @property
    def position(self) -> int:
        """Return the revision up to which all changes were received."""
        return self._resume_revision

    @property
    def complete_revision(self) -> int:
        """Return the newest revision up to which no change is missing.

        Later pages of a snapshot hold newer changes, but not all of them.
        """
        return min(self.revision, self._coverage.revision)

    def is_stable(self, after_s: float) -> bool:
        """Tell whether the service has been followed for ``after_s``."""
        since_s = time.monotonic() - self.connected_since
        return self.is_connected and since_s >= after_s

    def record_peer_revision(self, revision: int) -> None:
        """Record the revision of a peer's newest change."""
        self._coverage.record_peer(revision)

    def changes_after(self, revision: int) -> MirrorChanges:
        """Return the changes that a mirror at a revision lacks."""
        changed = [
            KeyValue(key, body, self._revisions[key])
            for key, body in self._bodies.items()
            if self._revisions[key] > revision
        ]
        return MirrorChanges(
            tuple(self._bodies), tuple(changed), self.complete_revision
        )

    def events_after(self, revision: int) -> tuple[WatchEvent, ...] | None:
        """Return the newest change of each key changed after a revision.

        :return: the events in order of revision, none if some changes after
            the revision are no longer known.
        """
        if revision < self._recent_since:
            return None
        newest = {
            key: mod_revision
            for mod_revision, key in self._recent_changes
            if mod_revision > revision
        }
        return tuple(
            WatchEvent(key, self._bodies.get(key), mod_revision)
            for key, mod_revision in sorted(
                newest.items(), key=operator.itemgetter(1)
            )
        )

    def snapshot(self) -> KeySnapshot:
        """Return all keys at the current position."""
        entries = tuple(
            KeyValue(key, body, self._revisions[key])
            for key, body in self._bodies.items()
        )
        return KeySnapshot(entries, self.position)

    def apply_changes(
        self,
        changes: MirrorChanges,
        revision: int = 0,
        *,
        is_consistent: bool = True,
    ) -> None:
        """Apply the changes of a peer's mirror or of a snapshot.

        Keys that ``changes.keys`` does not list are removed, unless they are
        newer than it.

        :param revision: of ``changes.keys``, 0 if it is not known.
        :param is_consistent: whether the keys are those of one revision.
        """
        newest = max((one.mod_revision for one in changes.changed), default=0)
        for key in set(self._revisions).difference(changes.keys):
            if not revision or self._revisions[key] <= revision:
                self._revisions.pop(key)
                self._bodies.pop(key, None)
                _notify(self._listener, key, None)
        for entry in changes.changed:
            self._apply_event(
                WatchEvent(entry.key, entry.body, entry.mod_revision),
                is_next=False,
            )
        # a peer's newest change may be a deletion, which is not listed
        self.revision = max(self.revision, changes.revision or 0)
        self._coverage.cover(revision or newest)
        if is_consistent:
            self.synced.set()

    def restart(self) -> None:
        """Restart the watch, unless it waits for its first change."""
        if not self._awaits_first_change:
            self._awaits_first_change = True
            self._follow_scope.cancel()

    async def run(self) -> None:
        """Follow the keys and reconnect after failures, until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._restart_when_behind)
            pauses = _RetryPauses()
            while True:
                await self._follow_until_disconnected(pauses)

    async def _follow_until_disconnected(self, pauses: '_RetryPauses') -> None:
        """Follow until the service fails or the watch is restarted.

        :param pauses: gives the longest pause after a failure.
        """
        scope = trio.CancelScope()
        followed_before_s = self.followed.total_s
        self._follow_scope = scope
        with scope:
            try:
                await self._follow()
            except PlatformUnavailableError as exc:
                self.has_failed = True
                self._mark_disconnected(exc.message)
                pause_s = pauses.next(
                    self.followed.total_s - followed_before_s
                )
                await trio.sleep(
                    pause_s * random.uniform(MIN_JITTER_FACTOR, 1)
                )

    async def _follow(self) -> None:
        self._awaits_first_change = True
        changes = self._service.follow_prefix(
            self._prefix, self._min_interval_s, self._resume_revision
        )
        async for change in changes:
            self._awaits_first_change = False
            if isinstance(change, KeySnapshot):
                self._apply_snapshot(change)
            elif isinstance(change, WatchProgress):
                self._advance_to(change.revision)
            else:
                self._apply_event(change)

    def _apply_snapshot(self, snapshot: KeySnapshot) -> None:
        """Apply a snapshot; a peer may have sent newer keys meanwhile."""
        keys = tuple(entry.key for entry in snapshot.entries)
        self.apply_changes(
            MirrorChanges(keys, snapshot.entries),
            snapshot.revision,
            is_consistent=snapshot.is_consistent,
        )
        # deletions before the snapshot are not among the recent changes
        self._recent_since = max(self._recent_since, snapshot.revision)
        if snapshot.is_consistent:
            self._advance_to(snapshot.revision)
            return
        # it follows the service again once it has the changes since
        self._resume_revision = snapshot.revision
        self._mark_disconnected('changes since the snapshot are missing')

    def _advance_to(self, revision: int) -> None:
        """Record that all changes up to a revision were received.

        The revision of a deletion appears in no entry of a snapshot, so the
        newest entry alone would leave the mirror behind its peers for ever.
        """
        self._resume_revision = revision
        self.synced.set()
        if revision:
            self._coverage.cover(revision)
        if 0 < revision < self.revision and not self.is_connected:
            # it has later keys from a page or a peer, but not all of them
            return
        if not self.is_connected:
            now = time.monotonic()
            if now - self._disconnected_at > MIN_OUTAGE_S:
                self.connected_since = now
            log_message(
                'mirror:synced', prefix=self._prefix, keys=len(self._revisions)
            )
        self.is_connected = True
        self.followed.start()
        self.has_failed = False
        self.advanced.set()
        self.advanced = trio.Event()

    def _apply_event(self, event: WatchEvent, *, is_next: bool = True) -> None:
        """Apply a change unless a newer one of its key was applied.

        :param is_next: whether all changes before it were applied.
        """
        if is_next and event.mod_revision > self._coverage.revision:
            self._coverage.cover(event.mod_revision)
        self.revision = max(self.revision, event.mod_revision)
        if event.mod_revision <= self._revisions.get(event.key, 0):
            return
        dropped_revision = _add_recent(self._recent_changes, event)
        self._recent_since = max(self._recent_since, dropped_revision)
        if event.body is None:
            self._revisions.pop(event.key, None)
            self._bodies.pop(event.key, None)
        else:
            self._revisions[event.key] = event.mod_revision
            if self._stores_bodies:
                self._bodies[event.key] = event.body
        _notify(self._listener, event.key, event.body)

    def _mark_disconnected(self, reason: str) -> None:
        if self.is_connected:
            self._disconnected_at = time.monotonic()
            self.followed.stop()
            log_message('mirror:lost', prefix=self._prefix, reason=reason)
        self.is_connected = False

    async def _restart_when_behind(self) -> None:
        """Restart the watch when it is behind the peers for too long.

        A restart that waits for its first change is not interrupted: reading
        all keys over a slow link may take longer than ``MAX_LAG_S``.
        """
        restarted_at = -math.inf
        while True:
            await trio.sleep(LAG_CHECK_INTERVAL_S)
            now = time.monotonic()
            if not self.is_connected:
                # what is missing may come with the first changes
                restarted_at = now
            behind_s = now - max(self._coverage.missing_since, restarted_at)
            if (
                behind_s > MAX_LAG_S + self._min_interval_s
                and not self._awaits_first_change
            ):
                log_message('mirror:behind', prefix=self._prefix)
                restarted_at = now
                self.restart()


class _RetryPauses:
    """Longest pauses between attempts; they double until a watch works.

    A watch that is cut sooner than after ``MAX_RETRY_PAUSE_S`` counts as
    failed, so that a service that cuts each at once is not called in a loop.
    """

    def __init__(self) -> None:
        self._next_s = FIRST_RETRY_PAUSE_S

    def next(self, worked_s: float) -> float:
        """Return the pause after a watch that worked for a time."""
        if worked_s >= MAX_RETRY_PAUSE_S:
            self._next_s = FIRST_RETRY_PAUSE_S
        pause_s = self._next_s
        self._next_s = min(MAX_RETRY_PAUSE_S, pause_s * 2)
        return pause_s


class _Coverage:
    """Revision up to which a mirror lacks no change, and what peers report.

    :ivar revision: it may become lower: a snapshot that is older than a
        peer's state brings back keys that were deleted since.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._missing: collections.deque[tuple[float, int]] = (
            collections.deque()
        )

    @property
    def missing_since(self) -> float:
        """Return when the oldest missing one was reported, else infinity."""
        return self._missing[0][0] if self._missing else math.inf

    def cover(self, revision: int) -> None:
        """Record up to which revision the mirror lacks no change."""
        self.revision = revision
        while self._missing and self._missing[0][1] <= revision:
            self._missing.popleft()

    def record_peer(self, revision: int) -> None:
        """Record a revision that a peer reports now."""
        reported_at, newest = -math.inf, self.revision
        if self._missing:
            reported_at, newest = self._missing[-1]
        if revision <= newest:
            return
        now = time.monotonic()
        if now - reported_at < LAG_CHECK_INTERVAL_S:
            # counts as reported with the one before, so that few are kept
            self._missing.pop()
            now = reported_at
        self._missing.append((now, revision))


def _add_recent(
    changes: collections.deque[tuple[int, str]], event: WatchEvent
) -> int:
    """Add a recent change; return the revision of one that it drops, or 0."""
    is_full = len(changes) == changes.maxlen
    dropped_revision = changes[0][0] if is_full else 0
    changes.append((event.mod_revision, event.key))
    return dropped_revision


def _notify(listener: MirrorListener, key: str, body: bytes | None) -> None:
    """Pass a key on; one that its listener cannot take is skipped."""
    with log_unexpected_errors('mirror:key-failed'):
        listener.apply_key(key, body)
