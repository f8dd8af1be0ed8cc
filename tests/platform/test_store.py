"""Tests of the store client against a stand-in store with faults."""

import contextlib

import pytest
import trio

from briarrill.coordination.mirror import Mirror
from briarrill.errors import PlatformUnavailableError, WriteUnknownError
from briarrill.platform import store as store_module
from briarrill.platform.store import PlatformStore
from briarrill.transport.key_value import (
    KeyChange,
    KeySnapshot,
    WatchEvent,
    WatchProgress,
)
from standins.platform_store import StandinStore
from tests.coordination.test_mirror import RecordingListener
from tests.serving import serve_standin


@contextlib.asynccontextmanager
async def store():
    standin = StandinStore()
    async with serve_standin(standin) as address:
        client = PlatformStore(address)
        with trio.fail_after(20):
            yield client, standin
        client.close()


async def test_conditional_writes_apply_only_at_the_expected_revision():
    async with store() as (client, standin):
        revision = await client.compare_and_swap(
            'k/ä', b'\x00\xff', mod_revision=0
        )
        entry = await client.read('k/ä')
        assert (entry.body, entry.mod_revision) == (b'\x00\xff', revision)
        assert await client.read('none') is None
        conflict = await client.compare_and_swap('k/ä', b'x', mod_revision=0)
        assert conflict is None
        assert await client.delete('k/ä', mod_revision=revision)
        assert standin.entries == {}


async def test_read_prefix_reads_all_pages_and_keeps_limit():
    async with store() as (client, standin):
        standin.page_size = 2
        for number in range(5):
            standin.put(f'p/{number}', b'x')
        entries = await client.read_prefix('p/')
        assert [entry.key[-1] for entry in entries] == list('01234')
        limited = await client.read_prefix('p/', after='p/1', limit=2)
        assert [entry.key[-1] for entry in limited] == list('23')


async def test_follow_prefix_yields_snapshot_changes_and_new_snapshot():
    async with store() as (client, standin):
        standin.put('p/1', b'one')
        changes = client.follow_prefix('p/')
        first_snapshot = await anext(changes)
        assert isinstance(first_snapshot, KeySnapshot)
        assert first_snapshot.revision == standin.revision
        standin.put('q/1', b'other')
        standin.put('p/2', b'two')
        assert await anext(changes) == WatchEvent('p/2', b'two', 10)
        assert await anext(changes) == WatchProgress(10)
        standin.remove('p/1')
        assert await anext(changes) == WatchEvent('p/1', None, 11)
        assert await anext(changes) == WatchProgress(11)
        standin.put('p/3', b'three')
        standin.compact_history()
        second_snapshot = await anext(changes)
        assert isinstance(second_snapshot, KeySnapshot)
        assert [entry.key for entry in second_snapshot.entries] == [
            'p/2',
            'p/3',
        ]
        await changes.aclose()


async def test_changes_over_the_size_of_a_reply_end_in_a_snapshot(monkeypatch):
    """The same watch would exceed it again each time."""
    monkeypatch.setattr(store_module, 'MAX_REPLY_BYTES', 2000)
    async with store() as (client, standin):
        standin.page_size = 2
        changes = client.follow_prefix('p/', after_revision=standin.revision)
        assert isinstance(await anext(changes), WatchProgress)
        for number in range(30):
            standin.put(f'p/{number:02}', b'x' * 40)
        snapshot = await anext(changes)
        assert isinstance(snapshot, KeySnapshot)
        assert len(snapshot.entries) == 30
        assert isinstance(await anext(changes), WatchProgress)
        standin.put('p/30', b'x')
        assert (await anext(changes)).key == 'p/30'


async def test_follow_prefix_after_revision_yields_changes_without_snapshot():
    async with store() as (client, standin):
        standin.put('p/1', b'one')
        start_revision = standin.revision
        changes = client.follow_prefix('p/', after_revision=start_revision)
        # the first reply comes at once, although nothing has changed
        assert await anext(changes) == WatchProgress(start_revision)
        standin.put('p/2', b'two')
        assert await anext(changes) == WatchEvent(
            'p/2', b'two', start_revision + 1
        )
        await changes.aclose()
        standin.put('p/3', b'three')
        standin.compact_history()
        resumed_changes = client.follow_prefix(
            'p/', after_revision=start_revision
        )
        snapshot = await anext(resumed_changes)
        assert isinstance(snapshot, KeySnapshot)
        assert len(snapshot.entries) == 3
        await resumed_changes.aclose()


@pytest.mark.parametrize('status', [503, 429, 403])
async def test_rejected_write_raises_unavailable_and_stores_nothing(status):
    async with store() as (client, standin):
        standin.error_status = status
        with pytest.raises(PlatformUnavailableError):
            await client.transact([KeyChange('k', b'x', 0)])
        assert standin.entries == {}


async def test_write_with_lost_reply_returns_its_revision():
    async with store() as (client, standin):
        standin.lose_replies = 1
        revision = await client.transact([KeyChange('k', b'mine', 0)])
        assert revision == standin.entries['k'].revision


async def test_conflict_after_lost_reply_is_reported_as_conflict():
    async with store() as (client, standin):
        standin.put('k', b'theirs')
        standin.lose_replies = 1
        assert await client.transact([KeyChange('k', b'mine', 0)]) is None


async def test_late_first_attempt_has_no_effect_after_retry():
    async with store() as (client, standin):
        standin.delay_writes = 1
        assert await client.transact([KeyChange('k', b'mine', 0)])
        written_revision = standin.entries['k'].revision
        assert [status for status, _ in standin.apply_delayed_writes()] == [
            412
        ]
        assert standin.entries['k'].revision == written_revision


async def test_write_without_any_reply_raises_write_unknown():
    async with store() as (client, standin):
        standin.delay_writes = 10
        with pytest.raises(WriteUnknownError):
            await client.transact([KeyChange('k', b'x', 0)])


async def test_rejection_after_lost_reply_raises_write_unknown():
    """The first attempt may still be applied after the second is rejected."""

    class Store(StandinStore):
        async def _dispatch(self, call, argument, fields, body):
            self.error_status = 503
            return None

    standin = Store()
    async with serve_standin(standin) as address:
        client = PlatformStore(address)
        with pytest.raises(WriteUnknownError):
            await client.transact([KeyChange('k', b'x', 0)])
        client.close()


async def test_silent_store_raises_unavailable_or_write_unknown(monkeypatch):
    monkeypatch.setattr(store_module, 'CALL_TIMEOUT_S', 0.05)
    async with store() as (client, standin):
        standin.silent = True
        with pytest.raises(PlatformUnavailableError):
            await client.read('k')
        with pytest.raises(WriteUnknownError):
            await client.transact([KeyChange('k', b'x', 0)])


async def test_revoked_lease_deletes_its_keys():
    async with store() as (client, standin):
        lease = await client.grant_lease(3)
        await client.transact([KeyChange('k', b'x', lease_id=lease)])
        assert await client.keep_lease_alive(lease) > 0
        await client.revoke_lease(lease)
        assert await client.read('k') is None
        assert await client.keep_lease_alive(lease) == 0


async def test_unreachable_store_raises_unavailable():
    client = PlatformStore(('127.0.0.1', 1))
    with pytest.raises(PlatformUnavailableError):
        await client.transact([KeyChange('k', b'x', 0)])


async def test_store_counts_as_unreachable_after_calls_that_failed():
    """Calls in flight, such as long watches, say nothing about it."""
    async with store() as (client, standin), trio.open_nursery() as nursery:
        for number in range(4):
            nursery.start_soon(_follow_until_cancelled, client, f'{number}/')
        await trio.sleep(0.1)
        assert client.is_reachable
        nursery.cancel_scope.cancel()
    async with store() as (client, standin):
        standin.error_status = 503
        for is_reachable in (True, False):
            with pytest.raises(PlatformUnavailableError):
                await client.read('k')
            assert client.is_reachable is is_reachable
        standin.error_status = 0
        await client.read('k')
        assert client.is_reachable


async def _follow_until_cancelled(client, prefix):
    async with contextlib.aclosing(client.follow_prefix(prefix)) as changes:
        async for _ in changes:
            await trio.lowlevel.checkpoint()


async def test_mirror_is_behind_until_the_changes_since_the_first_page_came():
    """A key of the first page may have changed while others were read."""
    states = []

    def record(call, fields):
        if call == 'kv-range' and fields.get('after'):
            standin.put('a/1', b'new')
        if call == 'kv-watch':
            states.append(
                (mirror.is_behind, mirror.synced.is_set(), dict(recorded.keys))
            )
        return False

    async with store() as (client, standin):
        standin.page_size = 1
        standin.put('a/1', b'old')
        standin.put('a/2', b'x')
        standin.rejects = record
        recorded = RecordingListener()
        mirror = Mirror(client, 'a/', recorded)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(mirror.run)
            await mirror.synced.wait()
            assert recorded.keys == {'a/1': b'new', 'a/2': b'x'}
            assert not mirror.is_behind
            nursery.cancel_scope.cancel()
        assert states[0] == (True, False, {'a/1': b'old', 'a/2': b'x'})


class ProbedStore(StandinStore):
    """A store that can close each connection after its first response."""

    def __init__(self):
        super().__init__()
        self.closes_connections = False

    async def serve(self, conn):
        if not self.closes_connections:
            await super().serve(conn)
            return
        read_request_head = conn.read_request_head
        heads = iter([await read_request_head()])

        async def read_first():
            return next(heads, None)

        conn.read_request_head = read_first
        await super().serve(conn)


async def _count_replacements(standin, monkeypatch):
    """Probe a store 20 times; return how often connections were replaced."""
    monkeypatch.setattr(store_module, 'PROBE_INTERVAL_S', 0.01)
    replaced = []
    async with serve_standin(standin) as address:
        client = PlatformStore(address)
        with trio.fail_after(20):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    client.probe_periodically, lambda: replaced.append(None)
                )
                while standin.calls.count('kv-key') < 20:
                    await trio.sleep(0.001)
                nursery.cancel_scope.cancel()
        client.close()
    return len(replaced)


async def test_probes_that_are_answered_replace_no_connection(monkeypatch):
    assert not await _count_replacements(ProbedStore(), monkeypatch)


async def test_store_that_closes_idle_connections_keeps_most_of_them(
    monkeypatch,
):
    monkeypatch.setattr(store_module, 'MIN_REPLACEMENT_INTERVAL_S', 60)
    standin = ProbedStore()
    standin.closes_connections = True
    assert await _count_replacements(standin, monkeypatch) == 1
