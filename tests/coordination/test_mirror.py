"""A mirror misses nothing for long, and believes no older value."""

import trio

from briarrill.coordination import mirror as mirror_module
from briarrill.coordination.mirror import (
    Mirror,
    MirrorChanges,
    MirrorUser,
)
from briarrill.errors import PlatformUnavailableError
from briarrill.transport.key_value import (
    KeyChange,
    KeyPosition,
    KeySnapshot,
    KeyValue,
    WatchEvent,
)
from standins.memory_key_value import MemoryKeyValue


class Seen(MirrorUser):
    """Keeps what it is told."""

    def __init__(self):
        self.calls = []
        self.keys = {}

    def take_key(self, key, body):
        self.calls.append((key, body))
        if body is None:
            self.keys.pop(key, None)
        else:
            self.keys[key] = body


class CountingService(MemoryKeyValue):
    """Counts how often keys are read whole."""

    snapshots = 0

    async def follow(self, prefix, pace_s=0, after=0):
        self.snapshots += 1
        async for change in super().follow(prefix, pace_s, after):
            yield change


class DeafService(MemoryKeyValue):
    """Sends no changes, as a watch on a dead connection."""

    async def follow(self, prefix, pace_s=0, after=0):
        yield KeySnapshot(tuple(await self.read_prefix(prefix)))
        await trio.sleep_forever()


class SlowService(MemoryKeyValue):
    """Takes longer for all keys than a mirror may be behind."""

    snapshots = 0

    async def follow(self, prefix, pace_s=0, after=0):
        self.snapshots += 1
        await trio.sleep(0.3)
        async for change in super().follow(prefix, pace_s, after):
            yield change


class PositionedService(MemoryKeyValue):
    """Goes on from a position, until its watch is broken off."""

    def __init__(self):
        super().__init__()
        self.asked_after = []
        self.broken = trio.Event()

    async def follow(self, prefix, pace_s=0, after=0):
        self.asked_after.append(after)
        found = await self.read_prefix(prefix)
        if not after:
            yield KeySnapshot(tuple(found), self.revision)
        for entry in found:
            if entry.mod_revision > after:
                yield WatchEvent(entry.key, entry.body, entry.mod_revision)
        yield KeyPosition(self.revision)
        await self.broken.wait()
        raise PlatformUnavailableError('broken off')


async def _until(condition):
    with trio.fail_after(5):
        while not condition():
            await trio.sleep(0.01)


async def test_changes_and_deletions_arrive():
    service, seen = MemoryKeyValue(), Seen()
    await service.compare_and_swap('a/1', b'x', mod_revision=0)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(Mirror(service, 'a/', seen).run)
        await _until(lambda: seen.keys == {'a/1': b'x'})
        await service.transact([KeyChange('a/2', b'y')])
        await service.transact([KeyChange('a/1', None)])
        await service.transact([KeyChange('b/1', b'other')])
        await _until(lambda: seen.keys == {'a/2': b'y'})
        nursery.cancel_scope.cancel()


async def test_what_was_deleted_during_an_outage_is_told():
    service, seen = MemoryKeyValue(), Seen()
    await service.transact([KeyChange('a/1', b'x'), KeyChange('a/2', b'y')])
    async with trio.open_nursery() as nursery:
        mirror = Mirror(service, 'a/', seen)
        nursery.start_soon(mirror.run)
        await _until(lambda: len(seen.keys) == 2)
        service.down = True
        await _until(lambda: not mirror.is_connected)
        service._apply([KeyChange('a/1', None)])
        assert set(seen.keys) == {'a/1', 'a/2'}
        service.down = False
        await _until(lambda: set(seen.keys) == {'a/2'})
        nursery.cancel_scope.cancel()


async def test_mirror_behind_its_peers_reads_anew(monkeypatch):
    monkeypatch.setattr(mirror_module, 'MAX_LAG_S', 0.02)
    service, seen = DeafService(), Seen()
    async with trio.open_nursery() as nursery:
        mirror = Mirror(service, 'a/', seen)
        nursery.start_soon(mirror.run)
        await mirror.synced.wait()
        await service.transact([KeyChange('a/1', b'x')])
        await trio.sleep(0.2)
        assert seen.keys == {}
        mirror.hear_revision(service.revision)
        await _until(lambda: seen.keys == {'a/1': b'x'})
        nursery.cancel_scope.cancel()


async def test_reading_all_keys_is_not_broken_off_for_being_behind(
    monkeypatch,
):
    """The load pattern: megabytes of results over a slow link."""
    monkeypatch.setattr(mirror_module, 'MAX_LAG_S', 0.02)
    service, seen = SlowService(), Seen()
    await service.transact([KeyChange('a/1', b'x')])
    async with trio.open_nursery() as nursery:
        mirror = Mirror(service, 'a/', seen)
        nursery.start_soon(mirror.run)
        await mirror.synced.wait()
        # a peer's change that does not come here, so all is read again
        mirror.hear_revision(service.revision + 1)
        await _until(lambda: service.snapshots == 2)
        await service.transact([KeyChange('a/2', b'y')])
        await _until(lambda: 'a/2' in seen.keys)
        assert service.snapshots == 2
        nursery.cancel_scope.cancel()


async def test_mirror_goes_on_from_where_it_lost_the_service():
    service, seen = PositionedService(), Seen()
    await service.transact([KeyChange('a/1', b'x')])
    async with trio.open_nursery() as nursery:
        mirror = Mirror(service, 'a/', seen)
        nursery.start_soon(mirror.run)
        await _until(lambda: mirror.is_connected)
        await service.transact([KeyChange('a/2', b'y')])
        service.broken.set()
        service.broken = trio.Event()
        await _until(lambda: len(seen.keys) == 2 and mirror.is_connected)
        nursery.cancel_scope.cancel()
    assert service.asked_after == [0, 1]
    assert seen.calls == [('a/1', b'x'), ('a/2', b'y')]


async def test_mirror_knows_that_it_is_behind(monkeypatch):
    monkeypatch.setattr(mirror_module, 'MAX_LAG_S', 0.02)
    service = DeafService()
    async with trio.open_nursery() as nursery:
        mirror = Mirror(service, 'a/', Seen(), pace_s=60)
        nursery.start_soon(mirror.run)
        await mirror.synced.wait()
        await service.transact([KeyChange('a/1', b'x')])
        assert not mirror.is_behind
        mirror.hear_revision(service.revision)
        await _until(lambda: mirror.is_behind)
        mirror._take(WatchEvent('a/1', b'x', service.revision))
        await _until(lambda: not mirror.is_behind)
        nursery.cancel_scope.cancel()


def test_older_value_is_left_out():
    seen = Seen()
    mirror = Mirror(MemoryKeyValue(), 'a/', seen)
    mirror._take(WatchEvent('a/1', b'new', 9))
    mirror._take(WatchEvent('a/1', b'old', 4))
    assert seen.calls == [('a/1', b'new')]


def test_changes_of_a_peer_are_taken_and_offered():
    seen = Seen()
    mirror = Mirror(MemoryKeyValue(), 'a/', seen, keeps_bodies=True)
    mirror._take(WatchEvent('a/gone', b'x', 3))
    mirror._take(WatchEvent('a/kept', b'k', 4))
    changed = (KeyValue('a/1', b'y', 8),)
    mirror.take_changes(MirrorChanges(('a/kept', 'a/1'), changed))
    assert seen.keys == {'a/kept': b'k', 'a/1': b'y'}
    assert mirror.synced.is_set()
    offered = mirror.changes_after(4)
    assert sorted(offered.keys) == ['a/1', 'a/kept']
    assert offered.changed == changed


async def test_change_that_only_deleted_is_not_read_again_and_again(
    monkeypatch,
):
    """A mirror that starts later sees no revision of a deleted key."""
    monkeypatch.setattr(mirror_module, 'MAX_LAG_S', 0.02)
    service = CountingService()
    await service.transact([KeyChange('a/1', b'x')])
    await service.transact([KeyChange('a/1', None)])
    mirror = Mirror(service, 'a/', Seen())
    async with trio.open_nursery() as nursery:
        nursery.start_soon(mirror.run)
        await mirror.synced.wait()
        mirror.hear_revision(service.revision)
        await trio.sleep(0.5)
        nursery.cancel_scope.cancel()
    assert service.snapshots == 1
