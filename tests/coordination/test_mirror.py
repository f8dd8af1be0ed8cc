"""Tests of mirrors: changes, reconnects, lag behind peers and old values."""

import itertools
from types import SimpleNamespace

import attrs
import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from briarrill.coordination import followed_time
from briarrill.coordination import mirror as mirror_module
from briarrill.coordination.mirror import (
    FIRST_RETRY_PAUSE_S,
    MAX_RETRY_PAUSE_S,
    Mirror,
    MirrorChanges,
    MirrorListener,
)
from briarrill.errors import PlatformUnavailableError
from briarrill.transport.key_value import (
    ChangeSource,
    KeyChange,
    KeySnapshot,
    KeyValue,
    WatchEvent,
    WatchProgress,
)
from standins.memory_key_value import MemoryKeyValue


class RecordingListener(MirrorListener):
    """Records the changes of a mirror."""

    def __init__(self):
        self.calls = []
        self.keys = {}

    def apply_key(self, key, body):
        self.calls.append((key, body))
        if body is None:
            self.keys.pop(key, None)
        else:
            self.keys[key] = body


class CountingService(MemoryKeyValue):
    """Counts how often a prefix is followed."""

    snapshots = 0

    async def follow_prefix(self, prefix, min_interval_s=0, after_revision=0):
        self.snapshots += 1
        async for change in super().follow_prefix(
            prefix, min_interval_s, after_revision
        ):
            yield change


class StalledWatchService(MemoryKeyValue):
    """Sends a snapshot but no changes, like a watch on a dead connection."""

    async def follow_prefix(self, prefix, min_interval_s=0, after_revision=0):
        yield KeySnapshot(tuple(await self.read_prefix(prefix)))
        await trio.sleep_forever()


class SlowSnapshotService(MemoryKeyValue):
    """Delivers its snapshot later than ``MAX_LAG_S``."""

    snapshots = 0

    async def follow_prefix(self, prefix, min_interval_s=0, after_revision=0):
        self.snapshots += 1
        await trio.sleep(0.3)
        async for change in super().follow_prefix(
            prefix, min_interval_s, after_revision
        ):
            yield change


class ResumableService(MemoryKeyValue):
    """Resumes from a position and fails when ``connection_lost`` is set."""

    def __init__(self):
        super().__init__()
        self.resume_revisions = []
        self.connection_lost = trio.Event()

    async def follow_prefix(self, prefix, min_interval_s=0, after_revision=0):
        self.resume_revisions.append(after_revision)
        entries = await self.read_prefix(prefix)
        if not after_revision:
            yield KeySnapshot(tuple(entries), self.revision)
        for entry in entries:
            if entry.mod_revision > after_revision:
                yield WatchEvent(entry.key, entry.body, entry.mod_revision)
        yield WatchProgress(self.revision)
        await self.connection_lost.wait()
        raise PlatformUnavailableError('connection to the service lost')


async def _wait_until(condition):
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.01)


async def test_mirror_receives_changes_and_deletions_under_its_prefix():
    service, recorded = MemoryKeyValue(), RecordingListener()
    await service.compare_and_swap('a/1', b'x', mod_revision=0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(Mirror(service, 'a/', recorded).run)
        await _wait_until(lambda: recorded.keys == {'a/1': b'x'})
        await service.transact([KeyChange('a/2', b'y')])
        await service.transact([KeyChange('a/1', None)])
        await service.transact([KeyChange('b/1', b'other')])
        await _wait_until(lambda: recorded.keys == {'a/2': b'y'})
        nursery.cancel_scope.cancel()


class CutWatchService(MemoryKeyValue):
    """Cuts each watch after a time, and records when each began.

    :ivar works_s: time for which the next watches work, 0 if they never do.
    """

    def __init__(self, works_s):
        super().__init__()
        self.works_s = works_s
        self.began_at = []

    async def follow_prefix(self, prefix, min_interval_s=0, after_revision=0):
        self.began_at.append(trio.current_time())
        if self.works_s:
            yield WatchProgress(1)
        await trio.sleep(self.works_s)
        raise PlatformUnavailableError('the watch was cut')

    def pauses_s(self):
        """Return the pauses after all watches, for a constant time of work."""
        return [
            later - earlier - self.works_s
            for earlier, later in itertools.pairwise(self.began_at)
        ]


@pytest.fixture
def no_jitter(monkeypatch):
    clock = SimpleNamespace(monotonic=trio.current_time)
    monkeypatch.setattr(mirror_module, 'time', clock)
    monkeypatch.setattr(followed_time, 'time', clock)
    monkeypatch.setattr(mirror_module, 'MIN_JITTER_FACTOR', 1)


async def test_pause_before_a_watch_is_short_if_the_one_before_worked(
    autojump_clock, no_jitter
):
    service = CutWatchService(works_s=0.7)
    with trio.move_on_after(10):
        await Mirror(service, 'a/', RecordingListener()).run()
    assert len(service.pauses_s()) > 10
    assert max(service.pauses_s()) == pytest.approx(FIRST_RETRY_PAUSE_S)


@pytest.mark.parametrize('works_s', [0, 0.01])
async def test_pause_grows_while_watches_fail_at_once(
    autojump_clock, no_jitter, works_s
):
    service = CutWatchService(works_s)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(Mirror(service, 'a/', RecordingListener()).run)
        await trio.sleep(10)
        assert service.pauses_s()[:4] == pytest.approx(
            [
                FIRST_RETRY_PAUSE_S,
                2 * FIRST_RETRY_PAUSE_S,
                4 * FIRST_RETRY_PAUSE_S,
                MAX_RETRY_PAUSE_S,
            ]
        )
        assert service.pauses_s()[-1] == pytest.approx(MAX_RETRY_PAUSE_S)
        # once a watch has worked, the pause is short again
        service.works_s = 1
        await trio.sleep(10)
        assert service.pauses_s()[-1] == pytest.approx(FIRST_RETRY_PAUSE_S)
        nursery.cancel_scope.cancel()


async def test_deletion_during_an_outage_is_reported_after_it():
    service, recorded = MemoryKeyValue(), RecordingListener()
    await service.transact([KeyChange('a/1', b'x'), KeyChange('a/2', b'y')])
    async with trio.open_nursery() as nursery:
        mirror = Mirror(service, 'a/', recorded)
        nursery.start_soon(mirror.run)
        await _wait_until(lambda: len(recorded.keys) == 2)
        service.is_down = True
        await _wait_until(lambda: not mirror.is_connected)
        service._apply([KeyChange('a/1', None)])
        assert set(recorded.keys) == {'a/1', 'a/2'}
        service.is_down = False
        await _wait_until(lambda: set(recorded.keys) == {'a/2'})
        nursery.cancel_scope.cancel()


async def test_mirror_behind_its_peers_restarts_its_watch(monkeypatch):
    monkeypatch.setattr(mirror_module, 'MAX_LAG_S', 0.02)
    service, recorded = StalledWatchService(), RecordingListener()
    async with trio.open_nursery() as nursery:
        mirror = Mirror(service, 'a/', recorded)
        nursery.start_soon(mirror.run)
        await mirror.synced.wait()
        await service.transact([KeyChange('a/1', b'x')])
        await trio.sleep(0.2)
        assert recorded.keys == {}
        mirror.record_peer_revision(service.revision)
        await _wait_until(lambda: recorded.keys == {'a/1': b'x'})
        nursery.cancel_scope.cancel()


async def test_slow_snapshot_is_not_interrupted_while_behind(
    monkeypatch,
):
    """Reading megabytes of results over a slow link exceeds the lag limit."""
    monkeypatch.setattr(mirror_module, 'MAX_LAG_S', 0.02)
    service, recorded = SlowSnapshotService(), RecordingListener()
    await service.transact([KeyChange('a/1', b'x')])
    async with trio.open_nursery() as nursery:
        mirror = Mirror(service, 'a/', recorded)
        nursery.start_soon(mirror.run)
        await mirror.synced.wait()
        # a revision that never arrives here, so the watch is restarted
        mirror.record_peer_revision(service.revision + 1)
        await _wait_until(lambda: service.snapshots == 2)
        await service.transact([KeyChange('a/2', b'y')])
        await _wait_until(lambda: 'a/2' in recorded.keys)
        assert service.snapshots == 2
        nursery.cancel_scope.cancel()


async def test_mirror_resumes_from_its_last_position_after_a_failure():
    service, recorded = ResumableService(), RecordingListener()
    await service.transact([KeyChange('a/1', b'x')])
    async with trio.open_nursery() as nursery:
        mirror = Mirror(service, 'a/', recorded)
        nursery.start_soon(mirror.run)
        await _wait_until(lambda: mirror.is_connected)
        await service.transact([KeyChange('a/2', b'y')])
        service.connection_lost.set()
        service.connection_lost = trio.Event()
        await _wait_until(
            lambda: len(recorded.keys) == 2 and mirror.is_connected
        )
        nursery.cancel_scope.cancel()
    assert service.resume_revisions == [0, 1]
    assert recorded.calls == [('a/1', b'x'), ('a/2', b'y')]


async def test_mirror_is_behind_until_the_peers_change_arrives(monkeypatch):
    monkeypatch.setattr(mirror_module, 'MAX_LAG_S', 0.02)
    service = StalledWatchService()
    async with trio.open_nursery() as nursery:
        mirror = Mirror(service, 'a/', RecordingListener(), min_interval_s=60)
        nursery.start_soon(mirror.run)
        await mirror.synced.wait()
        await service.transact([KeyChange('a/1', b'x')])
        assert not mirror.is_behind
        mirror.record_peer_revision(service.revision)
        await _wait_until(lambda: mirror.is_behind)
        mirror._apply_event(WatchEvent('a/1', b'x', service.revision))
        await _wait_until(lambda: not mirror.is_behind)
        nursery.cancel_scope.cancel()


def test_event_with_an_older_revision_is_ignored():
    recorded = RecordingListener()
    mirror = Mirror(MemoryKeyValue(), 'a/', recorded)
    mirror._apply_event(WatchEvent('a/1', b'new', 9))
    mirror._apply_event(WatchEvent('a/1', b'old', 4))
    assert recorded.calls == [('a/1', b'new')]


def test_changes_of_a_peer_are_applied_and_offered_to_others():
    recorded = RecordingListener()
    mirror = Mirror(MemoryKeyValue(), 'a/', recorded, stores_bodies=True)
    mirror._apply_event(WatchEvent('a/gone', b'x', 3))
    mirror._apply_event(WatchEvent('a/kept', b'k', 4))
    changed = (KeyValue('a/1', b'y', 8),)
    mirror.apply_changes(MirrorChanges(('a/kept', 'a/1'), changed))
    assert recorded.keys == {'a/kept': b'k', 'a/1': b'y'}
    assert mirror.synced.is_set()
    available = mirror.changes_after(4)
    assert sorted(available.keys) == ['a/1', 'a/kept']
    assert available.changed == changed


async def test_deletion_as_newest_change_does_not_restart_the_watch(
    monkeypatch,
):
    """A snapshot read after a deletion has no entry of its revision."""
    monkeypatch.setattr(mirror_module, 'MAX_LAG_S', 0.02)
    service = CountingService()
    await service.transact([KeyChange('a/1', b'x')])
    await service.transact([KeyChange('a/1', None)])
    mirror = Mirror(service, 'a/', RecordingListener())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(mirror.run)
        await mirror.synced.wait()
        mirror.record_peer_revision(service.revision)
        await trio.sleep(0.5)
        nursery.cancel_scope.cancel()
    assert service.snapshots == 1


async def test_mirror_without_the_service_is_behind():
    """Nothing tells it what it misses, not even a peer."""
    service = MemoryKeyValue()
    await service.transact([KeyChange('a/1', b'x')])
    mirror = Mirror(service, 'a/', RecordingListener())
    assert mirror.is_behind
    async with trio.open_nursery() as nursery:
        nursery.start_soon(mirror.run)
        await mirror.synced.wait()
        await _wait_until(lambda: not mirror.is_behind)
        service.is_down = True
        await _wait_until(lambda: mirror.is_behind)
        nursery.cancel_scope.cancel()


def test_older_snapshot_does_not_remove_newer_keys():
    """Pages are read one by one, so a snapshot is as old as its first."""
    recorded = RecordingListener()
    mirror = Mirror(MemoryKeyValue(), 'a/', recorded)
    for key, revision in (('a/1', 3), ('a/2', 6)):
        mirror._apply_event(WatchEvent(key, b'x', revision))
    mirror._apply_snapshot(KeySnapshot((KeyValue('a/3', b'x', 4),), 5))
    assert set(recorded.keys) == {'a/2', 'a/3'}
    mirror._apply_event(WatchEvent('a/2', None, 7))
    assert set(recorded.keys) == {'a/3'}


class ScriptedSource(ChangeSource):
    """Yields what it is sent."""

    def __init__(self):
        self.send, self._receive = trio.open_memory_channel(10)

    async def follow_prefix(self, prefix, min_interval_s=0, after_revision=0):
        async for change in self._receive:
            yield change


async def test_mirror_that_connects_is_behind_until_it_has_what_peers_reported(
    autojump_clock, monkeypatch
):
    """Its first changes are as old as a slow link made them."""
    monkeypatch.setattr(
        mirror_module, 'time', SimpleNamespace(monotonic=trio.current_time)
    )
    source = ScriptedSource()
    mirror = Mirror(source, 'a/', RecordingListener())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(mirror.run)
        first = KeySnapshot((KeyValue('a/1', b'x', 4),), 5)
        source.send.send_nowait(attrs.evolve(first, is_consistent=False))
        await trio.sleep(1)
        mirror.record_peer_revision(9)
        await trio.sleep(1)
        source.send.send_nowait(WatchProgress(7))
        for _ in range(5):
            await trio.sleep(0.1)
            assert mirror.is_behind
        source.send.send_nowait(WatchEvent('a/2', b'y', 9))
        source.send.send_nowait(WatchProgress(9))
        await trio.sleep(0.01)
        assert not mirror.is_behind
        nursery.cancel_scope.cancel()


async def test_mirror_with_a_part_of_the_changes_since_a_snapshot_is_behind():
    """A reply to a watch need not hold all changes."""
    source = ScriptedSource()
    mirror = Mirror(source, 'a/', RecordingListener())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(mirror.run)
        page = KeySnapshot((KeyValue('a/2', b'x', 8),), 5, is_consistent=False)
        for change in (page, WatchEvent('a/1', b'y', 6), WatchProgress(6)):
            source.send.send_nowait(change)
        await wait_all_tasks_blocked()
        assert mirror.is_behind
        assert mirror.complete_revision == 6
        source.send.send_nowait(WatchProgress(8))
        await wait_all_tasks_blocked()
        assert not mirror.is_behind
        nursery.cancel_scope.cancel()


def test_snapshot_that_is_older_than_a_peers_state_is_complete_up_to_itself():
    """It brings back a key that was deleted since."""
    mirror = Mirror(MemoryKeyValue(), 'a/', RecordingListener())
    mirror.apply_changes(
        MirrorChanges(('a/2',), (KeyValue('a/2', b'x', 8),), 9), 9
    )
    mirror._apply_snapshot(KeySnapshot((KeyValue('a/1', b'x', 4),), 5))
    assert mirror.complete_revision == 5
    assert mirror.is_behind
    mirror._apply_event(WatchEvent('a/1', None, 7))
    mirror._advance_to(9)
    assert mirror.complete_revision == 9
    assert not mirror.is_behind
