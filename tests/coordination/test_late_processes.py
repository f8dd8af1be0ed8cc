"""Replay of releases beside a process that stands still or is cut off.

Streams begin at versions that serve, through other processes, and are taken up
at this one, which no peer tells what began them.
"""

import random
import time
import types

import attrs
import msgspec
import pytest
import trio

from briarrill.coordination.latest_versions import (
    LatestVersions,
    decode_record,
)
from briarrill.coordination.mirror import Mirror, MirrorListener
from briarrill.coordination.recent_versions import update_records
from briarrill.coordination.upstream_table import (
    RETURN_GRACE_S,
    RegisteredUpstream,
    UpstreamTable,
)
from briarrill.coordination.upstream_versions import UpstreamVersions
from briarrill.coordination.version_recorder import CHECK_INTERVAL_S
from briarrill.coordination.version_records import (
    RECORD_RETENTION_S,
    ServedVersion,
    VersionRecords,
)
from briarrill.errors import PlatformUnavailableError
from briarrill.relay.stream_places import StreamPlaces
from briarrill.state.keys import (
    UPSTREAM_VERSIONS_PREFIX,
    upstream_version_key,
)
from briarrill.transport.key_value import (
    KeySnapshot,
    KeyValue,
    WatchEvent,
    WatchProgress,
)

UPSTREAMS_PREFIX = 'upstreams/'

CALL_TIMEOUT_S = 1.5
WATCH_WAIT_S = 4.0
LATENCIES_S = (0.001, 0.02, 0.25)

RELEASES = 12
STREAMS = 10

# of the streams taken up long after a release
MIN_RESUMED_SHARE = 0.5


@attrs.define
class Service:
    """A service whose replies may not arrive.

    :ivar silent: names of calls without replies.
    """

    rng: random.Random
    events: list = attrs.field(factory=list)
    silent: set = attrs.field(factory=set)
    changed: trio.Event = attrs.field(factory=trio.Event)

    @property
    def entries(self):
        newest = {event.key: event for event in self.events}
        return [
            KeyValue(event.key, event.body, event.mod_revision)
            for event in newest.values()
            if event.body is not None
        ]

    def put(self, key, body):
        self.events.append(WatchEvent(key, body, len(self.events) + 1))
        self.changed.set()
        self.changed = trio.Event()

    async def read_prefix(self, prefix):
        shown = [one for one in self.entries if one.key.startswith(prefix)]
        await self._reply('read')
        return shown

    async def follow_prefix(self, prefix, min_interval_s=0, after_revision=0):
        revision = after_revision
        if not revision:
            revision = len(self.events)
            yield KeySnapshot(tuple(await self.read_prefix(prefix)), revision)
        wait_s = 0
        while True:
            with trio.move_on_after(wait_s):
                while not self._after(prefix, revision):
                    await self.changed.wait()
            shown, at = self._after(prefix, revision), len(self.events)
            await self._reply('watch')
            for event in shown:
                yield event
            yield WatchProgress(at)
            revision, wait_s = at, WATCH_WAIT_S

    def _after(self, prefix, revision):
        return [
            event
            for event in self.events[revision:]
            if event.key.startswith(prefix)
        ]

    async def _reply(self, call):
        try:
            with trio.fail_after(CALL_TIMEOUT_S):
                await trio.sleep(self.rng.choice(LATENCIES_S))
                while call in self.silent:
                    await trio.sleep(CALL_TIMEOUT_S)
        except trio.TooSlowError as exc:
            raise PlatformUnavailableError('no reply') from exc


def decode_registration(key, body):
    return msgspec.json.decode(body, type=ServedVersion)


@attrs.define
class Registrations(MirrorListener):
    table: UpstreamTable

    def apply_key(self, key, body):
        if body is None:
            self.table.unregister(key)
            return
        served = decode_registration(key, body)
        self.table.register(
            RegisteredUpstream(
                upstream_id=key,
                service=served.service,
                address=('127.0.0.1', 1),
                failure_domain='a',
                slots=1,
                version=served.version,
            )
        )


@attrs.define
class Records(MirrorListener):
    records: VersionRecords

    def apply_key(self, key, body):
        if body is None:
            for served in list(self.records._seen_at):
                if upstream_version_key(served.service, served.version) == key:
                    self.records.discard(served)
        else:
            self.records.add(decode_record(key, body))


class Process:
    """The parts of one process that infer what began a stream."""

    def __init__(self, service):
        self.registered = Mirror(service, UPSTREAMS_PREFIX, None)
        self.recorded = Mirror(service, UPSTREAM_VERSIONS_PREFIX, None)
        records = VersionRecords(
            lambda: self.recorded.is_connected,
            lambda: self.registered.connected_since,
            clock=trio.current_time,
        )
        latest = LatestVersions(
            service,
            records,
            UPSTREAMS_PREFIX,
            lambda: self.registered.position,
            decode_registration,
        )
        self.table = UpstreamTable(
            lambda: self.registered.is_stable(RETURN_GRACE_S),
            records,
            lambda: self.registered.followed.total_s,
            latest.find_missed,
        )
        self.table.versions = UpstreamVersions(trio.current_time)
        self.registered._listener = Registrations(self.table)
        self.recorded._listener = Records(records)
        self.places = StreamPlaces(None, self.table, None)

    async def run(self):
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.registered.run)
            nursery.start_soon(self.recorded.run)
            while True:
                await trio.sleep(CHECK_INTERVAL_S)
                update_records(self.table)

    async def infer(self):
        route = types.SimpleNamespace(
            resumable=True, targets=(types.SimpleNamespace(service='llm'),)
        )
        call = types.SimpleNamespace(
            route=route, last_event_id=1, resumed_id=''
        )
        return await self.places.origin_of(call)


@attrs.define
class Replay:
    """Releases, taken back at times, while the process is interrupted."""

    rng: random.Random
    clock: trio.testing.MockClock
    service: Service
    process: Process
    versions: list = attrs.field(factory=lambda: ['v0'])
    outcomes: list = attrs.field(factory=list)

    async def run(self):
        self._record('v0', 1)
        self._register('v0', 1)
        for number in range(1, RELEASES + 1):
            await trio.sleep(RECORD_RETENTION_S + WATCH_WAIT_S)
            await self._take_up_all('calm', self.versions[-1])
            await self._release(f'v{number}')
            self.service.silent.clear()
            for version in sorted(set(self.versions[:-1])):
                self._register(version, 0)
                self._record(version, 0)

    async def _release(self, version):
        self.service.silent |= self.rng.choice(
            [set(), {'watch'}, {'watch', 'read'}]
        )
        stands_still = self.rng.choice([True, False])
        previous = self.versions[-1]
        self._register(version, 1)
        await self._pass_time(stands_still)
        if self.rng.choice([True, False]):
            self._record(version, 1)
        self._register(previous, self.rng.randrange(2))
        await self._pass_time(stands_still)
        if self.rng.choice([True, False]):
            # taken back before the process hears of it
            self._register(version, 0)
            self._register(previous, 1)
        else:
            self.versions.append(version)
        await self._take_up_all('release', version)

    async def _pass_time(self, stands_still):
        pause_s = self.rng.uniform(0, 2)
        if stands_still:
            self.clock.jump(pause_s)
        else:
            await trio.sleep(pause_s)

    async def _take_up_all(self, phase, began):
        async with trio.open_nursery() as nursery:
            for _ in range(STREAMS):
                nursery.start_soon(self._take_up, phase, began)

    async def _take_up(self, phase, began):
        if phase == 'release':
            await trio.sleep(self.rng.choice((0, 0, 0.1, 1)))
        origin = await self.process.infer()
        self.outcomes.append((phase, began, origin.version))

    def _register(self, version, count):
        body = msgspec.json.encode(ServedVersion('llm', version))
        self.service.put(
            f'{UPSTREAMS_PREFIX}{version}', body if count else None
        )

    def _record(self, version, count):
        body = msgspec.json.encode(ServedVersion('llm', version))
        key = upstream_version_key('llm', version)
        self.service.put(key, body if count else None)


@pytest.mark.parametrize('seed', range(8))
async def test_replayed_releases_join_no_versions_at_a_late_process(
    seed, autojump_clock, monkeypatch
):
    monkeypatch.setattr(time, 'monotonic', trio.current_time)
    rng = random.Random(seed)
    service = Service(rng)
    process = Process(service)
    replay = Replay(rng, autojump_clock, service, process)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(process.run)
        await replay.run()
        nursery.cancel_scope.cancel()
    joined = [
        (phase, began, version)
        for phase, began, version in replay.outcomes
        if version not in {began, None}
    ]
    assert joined == []
    calm = [
        version for phase, _, version in replay.outcomes if phase == 'calm'
    ]
    assert sum(version is not None for version in calm) / len(calm) > (
        MIN_RESUMED_SHARE
    )
