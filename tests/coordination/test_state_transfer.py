"""Tests of state transfer to a process that starts during an outage."""

import trio

from briarrill.coordination import state_transfer
from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.mirror import Mirror
from briarrill.coordination.state_transfer import StateTransfer
from briarrill.protocol.load_reports import LoadReport
from briarrill.transport.http_callers import serve_callers
from briarrill.transport.key_value import (
    KeyChange,
    KeySnapshot,
    KeyValue,
    WatchEvent,
)
from standins.memory_key_value import MemoryKeyValue
from tests.coordination.test_mirror import RecordingListener
from tests.serving import free_port


def _exchange(name, host):
    return LoadExchange(name, host, 0, (), lambda report: report)


async def test_disconnected_mirror_fetches_the_state_of_an_advanced_peer(
    network, monkeypatch
):
    monkeypatch.setattr(state_transfer, 'STARTUP_GRACE_S', 0)
    port = free_port()
    service = MemoryKeyValue()
    await service.transact([KeyChange('op/x', b'one')])
    peer_mirror = Mirror(
        service, 'op/', RecordingListener(), stores_bodies=True
    )
    unreachable = MemoryKeyValue()
    unreachable.is_down = True
    recorded = RecordingListener()
    own_mirror = Mirror(unreachable, 'op/', recorded)
    load = _exchange('new', f'{network}.2')
    peer_transfer = StateTransfer(
        {'op/': peer_mirror}, _exchange('old', network), port
    )
    own_transfer = StateTransfer({'op/': own_mirror}, load, port)
    address = (f'{network}.1', port)
    async with (
        serve_callers(
            address, peer_transfer.caller_limits, peer_transfer.serve
        ),
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(peer_mirror.run)
        nursery.start_soon(own_mirror.run)
        nursery.start_soon(own_transfer.run)
        await peer_mirror.synced.wait()
        load.receive_report(
            LoadReport(
                'old',
                f'{network}.1',
                1,
                1,
                revisions={'op/': peer_mirror.revision},
            )
        )
        with trio.fail_after(5):
            await own_mirror.synced.wait()
        nursery.cancel_scope.cancel()
    assert recorded.keys == {'op/x': b'one'}


class _ServiceDuringFetch:
    """Applies newer changes to a mirror while it fetches a peer's state."""

    def __init__(self, mirror):
        self.mirror = mirror

    async def fetch(self, *_args):
        stale = self.mirror.changes_after(0)
        self.mirror._apply_event(WatchEvent('servers/left', None, 9))
        self.mirror._apply_event(WatchEvent('servers/new', b'new', 10))
        return stale


async def test_fetched_state_does_not_undo_newer_changes(network, monkeypatch):
    """A server that left during the fetch must not be used again."""
    recorded = RecordingListener()
    mirror = Mirror(MemoryKeyValue(), 'servers/', recorded, stores_bodies=True)
    mirror._apply_event(WatchEvent('servers/left', b'old', 8))
    load = _exchange('new', f'{network}.2')
    load.receive_report(
        LoadReport('old', f'{network}.1', 1, 1, revisions={'servers/': 11})
    )
    transfer = StateTransfer({'servers/': mirror}, load, free_port())
    monkeypatch.setattr(
        StateTransfer, '_fetch', _ServiceDuringFetch(mirror).fetch
    )
    await transfer._fetch_newer('servers/', mirror)
    assert recorded.keys == {'servers/new': b'new'}


async def test_state_of_a_peer_does_not_bring_back_what_was_removed_since(
    network, monkeypatch
):
    """The peer is behind: it has the registration but not its removal."""
    recorded, peer = (
        RecordingListener(),
        Mirror(
            MemoryKeyValue(),
            'servers/',
            RecordingListener(),
            stores_bodies=True,
        ),
    )
    peer._apply_event(WatchEvent('servers/left', b'ready', 6))
    mirror = Mirror(MemoryKeyValue(), 'servers/', recorded, stores_bodies=True)
    mirror._apply_snapshot(
        KeySnapshot((KeyValue('servers/other', b'ready', 5),), 7)
    )
    peer._apply_event(WatchEvent('servers/other', b'ready', 5))
    mirror._mark_disconnected('cut')
    load = _exchange('new', f'{network}.2')
    load.receive_report(
        LoadReport('old', f'{network}.1', 1, 1, revisions={'servers/': 6})
    )
    transfer = StateTransfer({'servers/': mirror}, load, free_port())

    async def fetch(self, host, prefix, revision):
        return peer.changes_after(revision)

    monkeypatch.setattr(StateTransfer, '_fetch', fetch)
    await transfer._fetch_newer('servers/', mirror)
    assert recorded.keys == {'servers/other': b'ready'}


class _SlowService(MemoryKeyValue):
    """Its first snapshot takes 5 s, and then fails."""

    async def follow_prefix(self, prefix, min_interval_s=0, after_revision=0):
        await trio.sleep(5)
        self.is_down = True
        async for change in super().follow_prefix(prefix):
            yield change


async def test_no_state_is_fetched_before_a_call_to_the_service_failed(
    network, monkeypatch, autojump_clock
):
    """It would share the link with the pages that the mirror reads."""
    fetched = []
    mirror = Mirror(_SlowService(), 'op/', RecordingListener())
    load = _exchange('new', f'{network}.2')
    transfer = StateTransfer({'op/': mirror}, load, free_port())

    async def fetch_newer(self, prefix, mirror):
        fetched.append(trio.current_time())

    monkeypatch.setattr(StateTransfer, '_fetch_newer', fetch_newer)
    fails_at = trio.current_time() + 5
    async with trio.open_nursery() as nursery:
        nursery.start_soon(mirror.run)
        nursery.start_soon(transfer.run)
        await trio.sleep(6)
        nursery.cancel_scope.cancel()
    assert fetched
    assert min(fetched) >= fails_at


async def test_state_of_a_peer_fills_what_a_snapshot_of_pages_lacks(
    network, monkeypatch
):
    """Its last page is newer than the peer, its first is older."""
    service, recorded = MemoryKeyValue(), RecordingListener()
    peer = Mirror(service, '', RecordingListener(), stores_bodies=True)
    for key, revision in (('a', 4), ('b', 5)):
        peer._apply_event(WatchEvent(key, b'peer', revision))
    mirror = Mirror(service, '', recorded, stores_bodies=True)
    mirror._apply_snapshot(
        KeySnapshot((KeyValue('c', b'own', 7),), 3, is_consistent=False)
    )
    assert mirror.complete_revision == 3
    load = _exchange('new', f'{network}.2')
    load.receive_report(
        LoadReport(
            'old',
            f'{network}.1',
            1,
            1,
            revisions={'': peer.complete_revision},
        )
    )
    transfer = StateTransfer({'': mirror}, load, free_port())

    async def fetch(self, host, prefix, revision):
        return peer.changes_after(revision)

    monkeypatch.setattr(StateTransfer, '_fetch', fetch)
    await transfer._fetch_newer('', mirror)
    assert recorded.keys == {'a': b'peer', 'b': b'peer', 'c': b'own'}


async def test_state_of_a_peer_that_started_again_removes_no_keys(
    network, monkeypatch
):
    """Its report is from before the start, its keys are from after it."""
    recorded = RecordingListener()
    mirror = Mirror(MemoryKeyValue(), 'servers/', recorded, stores_bodies=True)
    mirror._apply_event(WatchEvent('servers/x', b'ready', 8))
    load = _exchange('new', f'{network}.2')
    load.receive_report(
        LoadReport('old', f'{network}.1', 1, 1, revisions={'servers/': 11})
    )
    started_again = Mirror(
        MemoryKeyValue(), 'servers/', RecordingListener(), stores_bodies=True
    )
    transfer = StateTransfer({'servers/': mirror}, load, free_port())

    async def fetch(self, host, prefix, revision):
        return started_again.changes_after(revision)

    monkeypatch.setattr(StateTransfer, '_fetch', fetch)
    await transfer._fetch_newer('servers/', mirror)
    assert recorded.keys == {'servers/x': b'ready'}
