"""Tests of followed keys that come from a peer instead of the service."""

import collections
import contextlib
import math

import msgspec
import pytest
import trio

from briarrill.coordination import feeds, mirror
from briarrill.coordination.feeds import (
    FEED_PATH,
    FeedRequest,
    FeedServer,
    FeedSource,
)
from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.mirror import Mirror
from briarrill.coordination.state_transfer import StateTransfer
from briarrill.platform.store import PlatformStore
from briarrill.transport.http_callers import serve_callers
from briarrill.transport.key_value import KeyChange
from standins.platform_store import StandinStore
from tests.coordination.test_mirror import RecordingListener
from tests.serving import free_port, serve_standin


class _Setup:
    """A follower, a member that reads from it, and the service."""

    def __init__(self, address, network):
        self.store = PlatformStore(address)
        self.port = free_port()
        self.follower_host = f'{network}.1'
        self.chosen_host = None
        self.follower_keys = RecordingListener()
        self.member_keys = RecordingListener()
        self.follower = self._mirror(self.store, self.follower_keys)
        self.service_calls = collections.Counter()
        self.source = FeedSource(
            PlatformStore(address), lambda: self.chosen_host, self.port
        )
        self.source.service.follow_prefix = self._count_follows(
            self.source.service.follow_prefix
        )
        self.member = self._mirror(self.source, self.member_keys)

    async def write(self, key, body=b'x'):
        await self.store.transact([KeyChange(key, body)])

    async def wait_for(self, keys):
        """Wait until the member has exactly these keys."""
        with trio.fail_after(5):
            while set(self.member_keys.keys) != set(keys):
                await trio.sleep(0.01)

    async def wait_for_feed(self):
        """Wait until the member polls the follower."""
        with trio.fail_after(5):
            while not self.polls:
                await trio.sleep(0.01)

    @property
    def polls(self):
        return self.service_calls['feed']

    @contextlib.asynccontextmanager
    async def serve_follower(self):
        """Serve the follower's feed to its peers."""
        server = FeedServer({'j/': self.follower})

        async def count_and_serve(body):
            self.service_calls['feed'] += 1
            return await server.serve(body)

        transfer = StateTransfer(
            {},
            LoadExchange('f', self.follower_host, 0, (), lambda one: one),
            self.port,
            request_handlers={FEED_PATH: count_and_serve},
        )
        address = (self.follower_host, self.port)
        async with serve_callers(
            address, transfer.caller_limits, transfer.serve
        ):
            self.chosen_host = self.follower_host
            yield

    def _mirror(self, source, listener):
        return Mirror(source, 'j/', listener, 0.05, stores_bodies=True)

    def _count_follows(self, follow):
        def counted(*args):
            self.service_calls['follow'] += 1
            return follow(*args)

        return counted


@pytest.fixture
async def setup(network, monkeypatch):
    monkeypatch.setattr(feeds, 'MAX_POLL_WAIT_S', 0.3)
    monkeypatch.setattr('briarrill.platform.store.MAX_WATCH_WAIT_S', 0.2)
    async with serve_standin(StandinStore()) as address:
        setup = _Setup(address, network)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(setup.follower.run)
            await setup.follower.synced.wait()
            nursery.start_soon(setup.member.run)
            await setup.member.synced.wait()
            yield setup
            nursery.cancel_scope.cancel()


async def test_member_reads_changes_and_deletions_from_the_follower(setup):
    async with setup.serve_follower():
        await setup.write('j/1')
        await setup.wait_for(['j/1'])
        await setup.wait_for_feed()
        await setup.write('j/2')
        await setup.wait_for(['j/1', 'j/2'])
        await setup.write('j/1', None)
        await setup.wait_for(['j/2'])
        # a member far behind gets a snapshot, which also deletes keys
        setup.follower._recent_since = setup.follower.position + 1
        await setup.write('j/3')
        await setup.wait_for(['j/2', 'j/3'])
        assert setup.service_calls['follow'] == 1
    assert setup.member.position >= setup.member.revision


async def test_lost_follower_is_replaced_by_the_service(setup):
    """The member continues at its position, without a new snapshot."""
    async with setup.serve_follower():
        await setup.write('j/1')
        await setup.wait_for_feed()
    await setup.write('j/2')
    await setup.wait_for(['j/1', 'j/2'])
    assert setup.service_calls['follow'] >= 2
    assert setup.member_keys.calls.count(('j/1', b'x')) == 1


async def test_frozen_follower_is_replaced_by_the_service(setup, monkeypatch):
    async def freeze(body):
        setup.service_calls['feed'] += 1
        await trio.sleep_forever()

    monkeypatch.setattr(FeedServer, 'serve', lambda server, body: freeze(body))
    async with setup.serve_follower():
        await setup.wait_for_feed()
        await setup.write('j/1')
        await setup.wait_for(['j/1'])
    assert setup.polls


async def test_follower_behind_the_peers_is_not_followed(setup, monkeypatch):
    """Its own watch may stop without an error."""
    monkeypatch.setattr(mirror, 'MAX_LAG_S', 0.05)
    async with setup.serve_follower():
        await setup.wait_for_feed()
        setup.follower._follow_scope.cancel()
        setup.follower._follow_scope = trio.CancelScope()
        monkeypatch.setattr(
            setup.follower, '_follow_until_disconnected', _stall
        )
        await setup.write('j/1')
        setup.member.record_peer_revision(10_000)
        await setup.wait_for(['j/1'])


async def _stall(pause_s):
    await trio.sleep_forever()


async def test_malformed_poll_is_rejected():
    assert await FeedServer({}).serve(b'\xff') is None


async def test_member_of_a_follower_without_the_service_is_behind(
    setup, monkeypatch
):
    """The follower replies, but changes do not reach it."""
    async with setup.serve_follower():
        await setup.wait_for_feed()
        await setup.write('j/1')
        await setup.wait_for(['j/1'])
        assert not setup.member.is_behind
        monkeypatch.setattr(
            setup.follower, '_follow_until_disconnected', _stall
        )
        setup.follower._mark_disconnected('cut off')
        setup.follower._follow_scope.cancel()
        with trio.fail_after(5):
            while not setup.member.is_behind:
                await trio.sleep(0.01)


@pytest.mark.parametrize('wait_s', [math.nan, -1.0])
async def test_poll_with_an_unusable_wait_is_refused(wait_s):
    server = FeedServer({'k/': Mirror(None, 'k/', RecordingListener())})
    poll = FeedRequest('k/', 0, wait_s)
    assert await server.serve(msgspec.msgpack.encode(poll)) is None
