"""Seeded replays of mirrors against a model of the key-value service."""

import itertools
import json
import random
import types
from urllib.parse import parse_qs

import attrs
import msgspec
import pytest
import trio

from briarrill.coordination import feeds
from briarrill.coordination import mirror as mirror_module
from briarrill.coordination.feeds import FeedServer, FeedSource
from briarrill.coordination.mirror import (
    LAG_CHECK_INTERVAL_S,
    MAX_LAG_S,
    Mirror,
    MirrorChanges,
)
from briarrill.coordination.state_transfer import StateTransfer
from briarrill.errors import UpstreamLostError
from briarrill.platform.store import PlatformStore
from briarrill.protocol.load_reports import LoadReport
from standins.platform_store import StandinStore
from tests.coordination.test_mirror import RecordingListener

PREFIX = 'k/'
KEYS = 12
PAGE_SIZE = 4

REPLAY_S = 20.0

# time without disturbances after which all mirrors have all changes
RECOVERY_S = 8.0

CHECK_INTERVAL_S = 0.02

SHARE_OF_DELETIONS = 0.3
SHARE_OF_COMPACTIONS = 0.02
SHARE_OF_RESTARTS = 0.3
REPORT_INTERVAL_S = 0.05

# a replay with fewer checks of mirrors that are not behind shows little
MIN_CURRENT_CHECKS = 500

# time after the report of a peer within which a mirror that has not received
# the changes up to it must count as behind
GRACE_S = MAX_LAG_S + LAG_CHECK_INTERVAL_S + 2 * CHECK_INTERVAL_S


class Service(StandinStore):
    """The service, with the history of each key.

    :param max_events: most events in the reply to a watch, 0 for no limit.
    """

    def __init__(self, rng, max_events):
        super().__init__()
        self.rng = rng
        self.max_events = max_events
        self.history = []
        self.page_size = PAGE_SIZE

    async def change_repeatedly(self):
        """Write and delete keys, and discard history at times."""
        while True:
            await trio.sleep(self.rng.expovariate(12))
            key = f'{PREFIX}{self.rng.randrange(KEYS)}'
            if self.rng.random() < SHARE_OF_DELETIONS:
                self.remove(key)
            else:
                self.put(key, str(self.revision).encode())
            if self.rng.random() < SHARE_OF_COMPACTIONS:
                self.compact_history()

    def _publish_event(self, event):
        is_deleted = event.get('tombstone', False)
        self.history.append((event['revision'], event['key'], is_deleted))
        super()._publish_event(event)

    async def _watch(self, fields):
        status, reply = await super()._watch(fields)
        events = reply.get('events', ())
        if 0 < self.max_events < len(events):
            events = events[: self.max_events]
            reply = {'events': events, 'at': events[-1]['revision']}
        return status, reply


class Client(PlatformStore):
    """A client whose link is slow and fails at times.

    :param delay_s: longest time that a reply takes.
    """

    failure_share = 0.02

    def __init__(self, service, rng, delay_s):
        super().__init__(('127.0.0.1', 1))
        self.service = service
        self.rng = rng
        self.delay_s = delay_s
        self.is_cut = False

    async def _call(self, method, target, body, timeout_s=1.5, **_options):
        path, _, query = target.partition('?')
        fields = {name: texts[0] for name, texts in parse_qs(query).items()}
        with trio.fail_after(timeout_s):
            await trio.sleep(self.rng.uniform(0, 0.01))
            status, reply = await self.service._dispatch(
                path.split('/')[1], '', fields, body
            )
            await trio.sleep(self.rng.uniform(0, self.delay_s))
        if self.is_cut or self.rng.random() < self.failure_share:
            raise UpstreamLostError('cut')
        return types.SimpleNamespace(
            status=status, body=json.dumps(reply).encode()
        )


class Feed(FeedSource):
    """Polls a follower in the same program."""

    async def _request(self, host, prefix, position):
        await trio.sleep(0.005)
        raw = await FeedServer({prefix: self.port[host].mirror}).serve(
            msgspec.msgpack.encode(
                feeds.FeedRequest(prefix, position, feeds.MAX_POLL_WAIT_S)
            )
        )
        await trio.sleep(0.005)
        return feeds._REPLY_DECODER.decode(raw)


class Transfer(StateTransfer):
    """Fetches state from a process in the same program."""

    async def _fetch(self, host, prefix, revision):
        await trio.sleep(0.02)
        raw = msgspec.msgpack.encode(
            self.port[host].mirror.changes_after(revision)
        )
        await trio.sleep(0.02)
        return msgspec.msgpack.decode(raw, type=MirrorChanges)


@attrs.define(eq=False)
class Process:
    """A process with a mirror.

    :ivar heard: times and revisions of the reports of connected peers.
    """

    name: str
    client: Client
    processes: dict
    follows: str | None = None
    mirror: Mirror = attrs.field(init=False)
    reports: dict = attrs.field(factory=dict)
    heard: list = attrs.field(factory=list)
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    async def run(self):
        """Run a mirror; begin with an empty one after each restart."""
        while True:
            self.scope = trio.CancelScope()
            with self.scope:
                await self._run_once()

    def receive(self, report):
        """Record a report as a process does."""
        self.reports[report.process] = report
        if report.connected:
            revision = report.revisions[PREFIX]
            self.heard.append((trio.current_time(), revision))
            self.mirror.record_peer_revision(revision)

    async def _run_once(self):
        self.reports.clear()
        self.heard.clear()
        source = Feed(self.client, self._follower, self.processes)
        self.mirror = Mirror(
            source, PREFIX, RecordingListener(), stores_bodies=True
        )
        load = types.SimpleNamespace(
            peers=types.SimpleNamespace(reachable=self.reports.values())
        )
        transfer = Transfer({PREFIX: self.mirror}, load, self.processes)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.mirror.run)
            nursery.start_soon(transfer.run)
            nursery.start_soon(self._report_repeatedly)

    def _follower(self):
        report = self.reports.get(self.follows)
        return self.follows if report and report.connected else None

    async def _report_repeatedly(self):
        for sequence in itertools.count():
            await trio.sleep(REPORT_INTERVAL_S)
            report = LoadReport(
                self.name,
                self.name,
                1,
                sequence,
                revisions={PREFIX: self.mirror.complete_revision},
                connected=(PREFIX,) * self.mirror.is_connected,
            )
            for peer in self.processes.values():
                if peer is not self:
                    peer.receive(report)


def missing(mirror, history, revision):
    """Return the changes up to a revision that a mirror lacks."""
    newest = {}
    for changed_at, key, is_deleted in history:
        if changed_at <= revision:
            newest[key] = (changed_at, is_deleted)
    deleted = {
        (key, changed_at)
        for changed_at, key, is_deleted in history
        if is_deleted
    }
    lacking = []
    for key, (changed_at, is_deleted) in newest.items():
        own = mirror._revisions.get(key, 0)
        if own > changed_at or (own == changed_at and not is_deleted):
            continue
        was_deleted_later = any(
            (key, later) in deleted
            for later in range(changed_at, history[-1][0] + 1)
        )
        if own or not was_deleted_later:
            lacking.append((key, changed_at, own))
    return lacking


def check(process, history):
    """Check what a mirror says of itself."""
    mirror = process.mirror
    for revision in (mirror.position, mirror.complete_revision):
        lacking = missing(mirror, history, revision)
        assert not lacking, (process.name, revision)
    if not mirror.is_behind:
        before = trio.current_time() - GRACE_S
        reported = [revision for at, revision in process.heard if at <= before]
        newest = max(reported, default=0)
        lacking = missing(mirror, history, newest)
        assert not lacking, (process.name, newest)


async def disturb(process, rng):
    """Cut the link of a process at times, or restart it."""
    while True:
        await trio.sleep(rng.uniform(0.5, 4))
        if rng.random() < SHARE_OF_RESTARTS:
            process.scope.cancel()
        else:
            process.client.is_cut = True
            await trio.sleep(rng.uniform(0.1, 2))
            process.client.is_cut = False


@pytest.mark.parametrize('max_events', [0, 8])
@pytest.mark.parametrize('seed', range(4))
async def test_mirror_that_is_not_behind_lacks_no_change_that_peers_have(
    autojump_clock, monkeypatch, seed, max_events
):
    clock = types.SimpleNamespace(monotonic=trio.current_time)
    for module in (mirror_module, feeds):
        monkeypatch.setattr(module, 'time', clock)
    monkeypatch.setattr(mirror_module, 'random', random.Random(seed))
    # trio shuffles its tasks
    runner = trio._core._run
    monkeypatch.setattr(runner, '_r', random.Random(seed))
    monkeypatch.setattr(runner, '_ALLOW_DETERMINISTIC_SCHEDULING', True)
    rng = random.Random(seed)
    service = Service(rng, max_events)
    for number in range(KEYS):
        service.put(f'{PREFIX}{number}', b'first')
    processes = {}
    for name, delay_s, follows in (
        ('fast', 0.02, None),
        ('slow', 0.9, None),
        ('member', 0.02, 'fast'),
        ('slow member', 0.3, 'slow'),
    ):
        processes[name] = Process(
            name, Client(service, rng, delay_s), processes, follows
        )
    checks_of_current = 0
    async with trio.open_nursery() as nursery:
        for process in processes.values():
            nursery.start_soon(process.run)
        async with trio.open_nursery() as faults:
            faults.start_soon(service.change_repeatedly)
            for process in processes.values():
                faults.start_soon(disturb, process, rng)
            await trio.sleep(0.001)
            for _ in range(int(REPLAY_S / CHECK_INTERVAL_S)):
                await trio.sleep(CHECK_INTERVAL_S)
                for process in processes.values():
                    check(process, service.history)
                    checks_of_current += not process.mirror.is_behind
            faults.cancel_scope.cancel()
        for process in processes.values():
            process.client.is_cut = False
            process.client.failure_share = 0
        for _ in range(int(RECOVERY_S / REPORT_INTERVAL_S)):
            # changes of other keys leave no mirror behind
            service.put('other', b'x')
            await trio.sleep(REPORT_INTERVAL_S)
        service.remove('other')
        for process in processes.values():
            assert not process.mirror.is_behind, process.name
            assert set(process.mirror._revisions) == set(service.entries)
        nursery.cancel_scope.cancel()
    assert checks_of_current > MIN_CURRENT_CHECKS
