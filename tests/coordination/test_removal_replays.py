"""Seeded replays of removed registrations at several processes.

Their watches are cut, the store rejects calls and drops its history, none of
it for as long as an outage lasts. On virtual time.
"""

import itertools
import json
import random
import types

import attrs
import pytest
import trio

from briarrill.coordination import followed_time, upstream_table
from briarrill.coordination import mirror as mirror_module
from briarrill.coordination.mirror import MIN_OUTAGE_S, Mirror
from briarrill.coordination.upstream_table import (
    RETURN_GRACE_S,
    UpstreamTable,
)
from briarrill.errors import UpstreamLostError
from briarrill.platform.store_writes import StatusError
from briarrill.platform.upstreams import REGISTRATIONS_PREFIX, Registrations
from tests.coordination.test_mirror_replays import Client, Service

PROCESSES = 5
UPSTREAMS = 10

REPLAY_S = 40.0
CHECK_INTERVAL_S = 0.02
REPORT_INTERVAL_S = 0.2

# time after which an upstream that leaves gets no new requests, less the time
# that a request takes from the choice of its upstream to its arrival there
DRAIN_TIME_S = 2.0
MAX_USE_S = DRAIN_TIME_S - 0.25

# share of the checks in which an upstream that stays is in use
MIN_USE_SHARE = 0.97

# time that a new registration has to reach all processes
ARRIVAL_S = 1.0

# longest time for which a disturbance keeps a process from the store
MAX_FAILURE_S = MIN_OUTAGE_S * 0.7


class CutClient(Client):
    """A client whose waiting watches are cut after random times.

    :ivar is_rejected: whether the store rejects all calls.
    """

    failure_share = 0
    is_rejected = False

    async def _call(self, method, target, body, timeout_s=1.5, **options):
        if self.is_rejected:
            await trio.sleep(self.rng.uniform(0, self.delay_s))
            raise StatusError(503)
        with trio.move_on_after(self.rng.uniform(0.3, 1.1)) as scope:
            return await super()._call(
                method, target, body, timeout_s, **options
            )
        assert scope.cancelled_caught
        raise UpstreamLostError('cut')


@attrs.define(eq=False)
class Process:
    """A process that follows the registrations and hears its peers."""

    client: CutClient
    table: UpstreamTable = attrs.field(init=False)
    mirror: Mirror = attrs.field(init=False)

    def __attrs_post_init__(self):
        self.table = UpstreamTable(
            lambda: self.mirror.is_stable(RETURN_GRACE_S),
            followed_s=lambda: self.mirror.followed.total_s,
        )
        self.mirror = Mirror(
            self.client,
            REGISTRATIONS_PREFIX,
            Registrations(self.table),
            stores_bodies=True,
        )

    def receive(self, peer):
        self.table.record_peer_removals(peer.table.removed_incarnations)
        if peer.mirror.is_connected:
            self.mirror.record_peer_revision(peer.mirror.complete_revision)

    async def report_repeatedly(self, processes):
        while True:
            await trio.sleep(REPORT_INTERVAL_S)
            for peer in processes:
                if peer is not self:
                    peer.receive(self)


@attrs.define
class Upstreams:
    """Registers upstreams, and removes and replaces them.

    :ivar registered_at: time of each upstream that is registered.
    :ivar removed_at: time of each that is not, by upstream identifier.
    """

    service: Service
    rng: random.Random
    registered_at: dict = attrs.field(factory=dict)
    removed_at: dict = attrs.field(factory=dict)
    _starts: itertools.count = attrs.field(factory=itertools.count)

    def register(self, name):
        body = {
            'service': 'llm',
            'address': '127.0.0.1:80',
            'zone': 'a',
            'slots': 4,
            'state': 'ready',
            'born': next(self._starts),
        }
        self.service.put(
            REGISTRATIONS_PREFIX + name, json.dumps(body).encode()
        )
        self.removed_at.pop(name, None)
        self.registered_at[name] = trio.current_time()

    def remove(self, name):
        self.service.remove(REGISTRATIONS_PREFIX + name)
        self.registered_at.pop(name)
        self.removed_at[name] = trio.current_time()

    async def replace_repeatedly(self):
        """Remove an upstream without notice; a new one comes later."""
        while True:
            await trio.sleep(self.rng.uniform(0.5, 3))
            name = self.rng.choice(sorted(self.registered_at))
            self.remove(name)
            await trio.sleep(self.rng.uniform(0.5, 4))
            self.register(name)


@attrs.define
class Verdict:
    """Counts in how many checks the upstreams that stay are in use."""

    checks: int = 0
    uses: int = 0
    late: set = attrs.field(factory=set)

    def check(self, processes, upstreams):
        now = trio.current_time()
        for number, process in enumerate(processes):
            names = {
                one.upstream_id
                for one in process.table.accepting_upstreams('llm')
            }
            self.late.update(
                (number, name, removed_at)
                for name, removed_at in upstreams.removed_at.items()
                if name in names and now - removed_at > MAX_USE_S
            )
            stayed = {
                name
                for name, since in upstreams.registered_at.items()
                if now - since > ARRIVAL_S
            }
            self.checks += len(stayed)
            self.uses += len(stayed & names)


async def reject_repeatedly(processes, rng):
    """Have the store reject some of the processes for short times."""
    while True:
        await trio.sleep(rng.uniform(0.5, 3))
        rejected = rng.sample(processes, rng.randint(1, len(processes)))
        for process in rejected:
            process.client.is_rejected = True
        await trio.sleep(rng.uniform(0.1, MAX_FAILURE_S))
        for process in rejected:
            process.client.is_rejected = False


async def drop_history_repeatedly(service, rng):
    while True:
        await trio.sleep(rng.uniform(0.5, 5))
        service.compact_history()


@pytest.fixture
def rng(request, monkeypatch):
    """Return the generator of a replay, and have trio and time follow it."""
    clock = types.SimpleNamespace(monotonic=trio.current_time)
    for module in (mirror_module, upstream_table, followed_time):
        monkeypatch.setattr(module, 'time', clock)
    seed = request.node.callspec.params['seed']
    monkeypatch.setattr(mirror_module, 'random', random.Random(seed))
    runner = trio._core._run
    monkeypatch.setattr(runner, '_r', random.Random(seed))
    monkeypatch.setattr(runner, '_ALLOW_DETERMINISTIC_SCHEDULING', True)
    return random.Random(seed)


@pytest.mark.parametrize('trouble', ['cuts', 'rejections', 'lost-history'])
@pytest.mark.parametrize('seed', range(4))
async def test_removed_upstreams_get_no_requests_though_watches_are_cut(
    autojump_clock, rng, seed, trouble
):
    service = Service(rng, 0)
    upstreams = Upstreams(service, rng)
    names = [f'i-{number}' for number in range(UPSTREAMS)]
    processes = [
        Process(CutClient(service, rng, 0.02)) for _ in range(PROCESSES)
    ]
    verdict = Verdict()
    async with trio.open_nursery() as nursery:
        for name in names:
            upstreams.register(name)
        for process in processes:
            nursery.start_soon(process.mirror.run)
            nursery.start_soon(process.report_repeatedly, processes)
        # the table is complete and the service followed for long enough
        await trio.sleep(RETURN_GRACE_S + ARRIVAL_S)
        nursery.start_soon(upstreams.replace_repeatedly)
        if trouble == 'rejections':
            nursery.start_soon(reject_repeatedly, processes, rng)
        if trouble == 'lost-history':
            nursery.start_soon(drop_history_repeatedly, service, rng)
        for _ in range(int(REPLAY_S / CHECK_INTERVAL_S)):
            await trio.sleep(CHECK_INTERVAL_S)
            verdict.check(processes, upstreams)
        nursery.cancel_scope.cancel()
    assert not verdict.late
    assert verdict.uses / verdict.checks >= MIN_USE_SHARE
