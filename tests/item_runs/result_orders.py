"""Jobs and results of several processes under a given order of events.

All code is the project's own, on virtual time: acceptance and reads, mirrors,
commits, expiry and hand-over. Only the key-value service, the links to it and
the runs of items are fakes.
"""

import contextlib
import json
import math
import types
from functools import partial

import attrs
import trio

from briarrill.coordination import followed_time, job_table, mirror
from briarrill.coordination.hedged_writes import HedgedWrites
from briarrill.coordination.job_table import JobTable
from briarrill.coordination.latest_results import LatestResults
from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.mirror import Mirror, MirrorListener
from briarrill.coordination.routes import RouteKind, RouteTable
from briarrill.errors import (
    BriarrillError,
    NotFoundError,
    PlatformUnavailableError,
    UpstreamLostError,
)
from briarrill.item_runs import item_order, job_expiry, result_commits
from briarrill.item_runs.item import ItemProgress
from briarrill.item_runs.item_order import ItemOrder
from briarrill.item_runs.job_expiry import JobExpiry
from briarrill.item_runs.local_items import LocalItems
from briarrill.item_runs.result_commits import Committer
from briarrill.platform.job_messages import PlatformJobProtocol
from briarrill.platform.relay_protocol import PlatformRelayProtocol
from briarrill.platform.store_writes import write_with_retry
from briarrill.relay import job_calls
from briarrill.relay.job_calls import JobRequestHandler
from briarrill.state.keys import (
    ROOT_PREFIX,
    job_body_prefix,
    job_results_prefix,
)
from briarrill.state.stored_jobs import (
    ItemState,
    decode_job_parts,
    decode_result,
)
from briarrill.transport.http_messages import RequestHead
from briarrill.transport.key_value import (
    KeyChange,
    KeyValueService,
    WatchEvent,
    WatchProgress,
)
from standins.memory_key_value import MemoryKeyValue
from tests.relay.front_end_setup import ROUTE_HOST, route

CONFIG_KEY = 'op/config'
UNIX_START_S = 1_000_000.0

# time of a call to the store without a response
CALL_TIMEOUT_S = 1.5

# time after a disturbance after which a process counts as in touch, and within
# which what one process has shown must be readable there
CONTACT_S = 3.0
SETTLE_S = 1.0

# time for which all is calm at the end
CALM_S = 8.0

EXPIRY_POLL_S = 0.25

# time after which a silent watch is replaced
SILENCE_NOTICED_S = 2.0

ROUTE = route(RouteKind.BATCH, item_ttl_s=600, completion_objective_s=18)
OTHER_ROUTE = attrs.evolve(ROUTE, name='other', prefix='/other/')
ONLINE_ROUTE = attrs.evolve(
    ROUTE, name='online', prefix=ROUTE.prefix, kind=RouteKind.STREAMING
)

#: Routes that a configuration may hold, by the name of the change.
ROUTE_SETS = {
    'batch': (OTHER_ROUTE, ROUTE),
    'removed': (OTHER_ROUTE,),
    'none': (),
    'replaced': (ONLINE_ROUTE,),
    'renamed': (attrs.evolve(ROUTE, name='renamed'),),
}

_MODULES_WITH_CLOCKS = (
    followed_time,
    item_order,
    job_calls,
    job_expiry,
    job_table,
    mirror,
    result_commits,
)


class BrokenPromiseError(AssertionError):
    """A caller could read what a promise excludes."""


class Link(KeyValueService):
    """One process's way to the service, with faults.

    :ivar state: ``ok``, ``rejects``, ``silent`` (calls get no response and
        are not executed), ``late`` (writes are executed when the link is ok
        again) or ``lossy`` (writes are executed, their responses lost).
    :ivar stalled_at: when open watches of a prefix fell silent for good; a
        watch that begins later works.
    """

    def __init__(self, service):
        self.service = service
        self.limits = service.limits
        self.state = 'ok'
        self.stalled_at = {}
        self.disturbed_at = -CONTACT_S
        self._late = []
        self._changed = trio.Event()

    def disturb(self, state):
        self.state = state
        self._mark_disturbed()
        if state == 'ok':
            late, self._late = self._late, []
            for changes in late:
                self.service.apply(changes)

    def stall(self, prefixes):
        """Let the open watches of some prefixes fall silent."""
        for prefix in prefixes:
            self.stalled_at[prefix] = trio.current_time()
        self._mark_disturbed()

    @property
    def is_in_touch(self):
        """Whether the link was undisturbed for the contact time."""
        since_s = trio.current_time() - self.disturbed_at
        return self.state == 'ok' and since_s > CONTACT_S

    async def read(self, key):
        await self._call()
        return await self.service.read(key)

    async def read_prefix(self, prefix, *, after='', limit=0):
        await self._call()
        return await self.service.read_prefix(prefix, after=after, limit=limit)

    async def transact(self, changes):
        self.limits.check(changes)
        return await write_with_retry(
            self, changes, partial(self._write, changes)
        )

    async def follow_prefix(self, prefix, min_interval_s=0, after_revision=0):
        await self._call()
        began_at = trio.current_time()
        async with contextlib.aclosing(
            self.service.follow_prefix(prefix)
        ) as changes:
            async for change in changes:
                while self.state in {'silent', 'late'}:
                    await self._changed.wait()
                if self.stalled_at.get(prefix, -math.inf) >= began_at:
                    await trio.sleep_forever()
                if self.state == 'rejects':
                    raise PlatformUnavailableError('rejected')
                yield change
                if isinstance(change, WatchEvent):
                    yield WatchProgress(change.mod_revision)

    async def grant_lease(self, ttl_s):
        raise NotImplementedError

    async def keep_lease_alive(self, lease_id):
        raise NotImplementedError

    async def revoke_lease(self, lease_id):
        raise NotImplementedError

    def _mark_disturbed(self):
        self.disturbed_at = trio.current_time()
        self._changed.set()
        self._changed = trio.Event()

    async def _call(self):
        if self.state == 'rejects':
            await trio.lowlevel.checkpoint()
            raise PlatformUnavailableError('rejected')
        if self.state in {'silent', 'late'}:
            await trio.sleep(CALL_TIMEOUT_S)
            raise PlatformUnavailableError('no response')

    async def _write(self, changes):
        if self.state == 'late':
            self._late.append(changes)
        if self.state in {'silent', 'late'}:
            await trio.sleep(CALL_TIMEOUT_S)
            raise trio.TooSlowError
        await self._call()
        revision = await self.service.transact(changes)
        if self.state == 'lossy':
            raise UpstreamLostError('response lost')
        return revision


class Service(MemoryKeyValue):
    """The service itself; it keeps the limits that the real one has."""

    def apply(self, changes):
        """Execute a write that was on its way."""
        return self._apply(changes)

    def bodies(self, prefix):
        """Return the values under a prefix, by key in order."""
        return {
            key: self._entries[key][0].body
            for key in sorted(self._entries)
            if key.startswith(prefix)
        }


class Routes(MirrorListener):
    """The routes that one process has received."""

    table = None

    def apply_key(self, key, body):
        if key == CONFIG_KEY and body is not None:
            fields = json.loads(body)
            if self.table is None or fields['version'] > self.table.version:
                self.table = RouteTable(
                    fields['version'], ROUTE_SETS[fields['routes']]
                )


class Responses:
    """Records the response to one request."""

    status = 0
    body = b''

    async def before_long_response(self):
        """Have a turn at once."""

    async def send_response(self, status, headers, body):
        self.status, self.body = status, body


class Process:
    """Accepts, reads, commits and expires jobs, as entry and batch process."""

    def __init__(self, service, nursery):
        self.link = Link(service)
        self.table = JobTable(self.link)
        self.routes = Routes()
        self.committer = Committer(self.link, self.table)
        self.local_items = LocalItems(self.committer, {})
        self.order = ItemOrder('me', self.table, dict)
        self.expiry = JobExpiry(
            self.table, self.order, self.committer, self.local_items
        )
        self.mirrors = {
            'op/': Mirror(self.link, 'op/', self.routes),
            ROOT_PREFIX: Mirror(self.link, ROOT_PREFIX, self.table),
        }
        self.scope = trio.CancelScope()
        jobs_mirror = self.mirrors[ROOT_PREFIX]
        latest = LatestResults(
            self.link, self.table, lambda: jobs_mirror.position
        )
        load = LoadExchange('me', '127.0.0.1', 0, (), lambda report: report)
        self.handler = JobRequestHandler(
            HedgedWrites(self.link, load, 1),
            self.table,
            PlatformJobProtocol(),
            1_000_000,
            is_behind=lambda: jobs_mirror.is_behind,
            has_latest_results=latest.confirm,
            count_tokens=self._count_tokens,
        )
        nursery.start_soon(self._run)

    async def request(self, method, target, job_id='', body=b''):
        """Serve a request; return status and body."""
        headers = [(b'host', ROUTE_HOST)]
        if job_id:
            headers.append((b'briarrill-attempt-id', job_id.encode()))
        head = RequestHead(method, target.encode(), tuple(headers))
        conn = Responses()
        if self.routes.table is None:
            return 503, b''
        try:
            intent = PlatformRelayProtocol().read_intent(
                head, self.routes.table, self.table.is_job_of_host
            )
            await self.handler.serve(intent, body, conn)
        except NotFoundError:
            is_behind = any(one.is_behind for one in self.mirrors.values())
            return (503 if is_behind else 404), b''
        except BriarrillError as exc:
            return exc.http_status, b''
        return conn.status, conn.body

    @property
    def version(self):
        """Return the version in force here, 0 for none."""
        return 0 if self.routes.table is None else self.routes.table.version

    def startable(self):
        """Return the items that this process would start now."""
        if self.routes.table is None:
            return []
        return self.order.startable_items(
            self.routes.table, ['me'], self._progress_of
        )

    async def _run(self):
        with self.scope:
            async with trio.open_nursery() as nursery:
                for one in self.mirrors.values():
                    nursery.start_soon(one.run)
                nursery.start_soon(self.committer.run)
                while True:
                    await trio.sleep(EXPIRY_POLL_S)
                    self._replace_silent_watches()
                    if self.routes.table is not None and not (
                        self.mirrors['op/'].is_behind
                    ):
                        self.expiry.check_if_due(self.routes.table)

    def _replace_silent_watches(self):
        """Restart watches as the probe of the real client does."""
        for prefix, stalled_at in list(self.link.stalled_at.items()):
            if trio.current_time() - stalled_at > SILENCE_NOTICED_S:
                self.link.stalled_at.pop(prefix)
                self.mirrors[prefix].restart()

    def _progress_of(self, tracked, item_id):
        if (
            item_id in tracked.finished_item_ids
            or item_id in self.committer.unpropagated_items
        ):
            return None
        key = (tracked.job_id, item_id)
        return self.local_items.suspended.get(key) or ItemProgress(
            tracked.job_id, tracked.items[item_id]
        )

    async def _count_tokens(self, route, routes, customer):
        return 0


@attrs.define
class AcceptedJob:
    """What callers know of an accepted job.

    :param version: of the routes under which it was stored.
    :param read: positions that were read, with the time of their first read.
    """

    accepted_at: float
    version: int
    read: dict = attrs.field(factory=dict)


class World:
    """Several processes, one service, and what callers have seen."""

    def __init__(self, nursery, process_count):
        self.service = Service()
        self.version = 0
        self.routes_by_version = {}
        self.jobs = {}
        self.sent_at_versions = {}
        self.impossible = set()
        self.ended = set()
        self.listed = {}
        self._nursery = nursery
        self.change_routes('batch')
        self.processes = [
            Process(self.service, nursery) for _ in range(process_count)
        ]

    def change_routes(self, name):
        """Put the next version of the configuration into force."""
        self.version += 1
        self.routes_by_version[self.version] = name
        fields = {'version': self.version, 'routes': name}
        self.service.apply(
            [KeyChange(CONFIG_KEY, json.dumps(fields).encode())]
        )

    def restart(self, number):
        """Kill a process; another one starts in its place."""
        self.processes[number].scope.cancel()
        self.processes[number] = Process(self.service, self._nursery)

    async def submit(self, number, job_id, item_count):
        items = [
            {
                'id': f'{job_id}-{item}',
                'path': f'{ROUTE.prefix}x',
                'headers': {},
                'body': '',
                'tokens': 1,
            }
            for item in range(item_count)
        ]
        process = self.processes[number]
        self.sent_at_versions.setdefault(job_id, set()).add(process.version)
        status, _ = await process.request(
            b'POST',
            ROUTE.prefix,
            job_id,
            json.dumps({'items': items}).encode(),
        )
        if status == 202 and job_id not in self.jobs:
            self.jobs[job_id] = AcceptedJob(
                trio.current_time(), self._stored_version(job_id)
            )
        is_known = job_id in self.jobs and self._is_settled(
            process, self.jobs[job_id].accepted_at
        )
        if is_known and 400 <= status < 500:
            raise BrokenPromiseError(f'{job_id} came again and got {status}')

    async def read(self, number, job_id, position):
        """Read a job and compare with what callers have seen."""
        process = self.processes[number]
        began_at = trio.current_time()
        is_in_touch = process.link.is_in_touch
        status, body = await process.request(
            b'GET', f'/lots/{job_id}?after={position}'
        )
        job = self.jobs.get(job_id)
        if job is None or status >= 500:
            return
        if status != 200:
            if is_in_touch and began_at - job.accepted_at > SETTLE_S:
                raise BrokenPromiseError(f'{job_id} was accepted; {status}')
            return
        page = json.loads(body)['results']
        for place, one in enumerate(page, position):
            known = self.listed[job_id, place]
            if (one['id'], one['state']) != known:
                raise BrokenPromiseError(f'{known} reads {one}')
            job.read.setdefault(place, trio.current_time())
        missing = job.read.get(position + len(page), began_at)
        if is_in_touch and began_at - missing > SETTLE_S:
            raise BrokenPromiseError(
                f'{job_id}: nothing at {position + len(page)}, read before'
            )

    async def end(self, number, job_id):
        status, _ = await self.processes[number].request(
            b'DELETE', f'/lots/{job_id}'
        )
        if status != 404:
            self.ended.add(job_id)

    def end_item(self, number, index, outcome):
        """Let an item that a process may run end there."""
        process = self.processes[number]
        startable = process.startable()
        if not startable:
            return
        progress = startable[index % len(startable)].progress
        process.local_items.suspended.pop(progress.key, None)
        if outcome == 'impossible':
            self.impossible.add(progress.key)
            process.committer.add(progress, ItemState.ERRORED)
            return
        if progress.last_event_id is None:
            progress.add_stream_bytes(
                f'id: 1\ndata: {progress.stored.item_id}\n\n'.encode()
            )
        if outcome == 'whole':
            progress.is_complete = True
            process.committer.add(progress, ItemState.COMPLETED)
        else:
            process.local_items.suspended[progress.key] = progress

    def hand_over(self, number, other):
        """Give the whole items of a process to another one."""
        for progress in self.processes[number].committer.release_completed():
            copy = ItemProgress(progress.job_id, progress.stored)
            copy.load_record(progress.record())
            self.processes[other].committer.add(copy, ItemState.COMPLETED)

    def check_stored(self):
        """Check all stored results; remember them."""
        for job_id in self.jobs:
            prefix = job_results_prefix(job_id)
            bodies = self.service.bodies(prefix).values()
            results = list(map(decode_result, bodies))
            ids = [one.item_id for one in results]
            if len(set(ids)) != len(ids):
                raise BrokenPromiseError(f'{job_id}: {ids}')
            self._check_tables(job_id, results)
            for place, one in enumerate(results):
                found = (one.item_id, one.state.value)
                if self.listed.setdefault((job_id, place), found) != found:
                    raise BrokenPromiseError(f'position {place} changed')
                if one.state is ItemState.ERRORED:
                    self._check_cause(job_id, one.item_id)
                elif one.output != one.item_id:
                    raise BrokenPromiseError(f'{one.item_id}: {one.output}')

    async def end_calmly(self):
        """Check that all items of open jobs are listed once all is calm."""
        for process in self.processes:
            process.link.disturb('ok')
        await trio.sleep(CALM_S)
        for number, process in enumerate(self.processes):
            while process.startable():
                self.end_item(number, 0, 'whole')
        await trio.sleep(CALM_S)
        self.check_stored()
        for job_id in self.jobs:
            for number, _ in enumerate(self.processes):
                await self.read(number, job_id, 0)
            self._check_whole(job_id)

    def _check_tables(self, job_id, results):
        """Check that each process would answer with what is stored."""
        for number, process in enumerate(self.processes):
            tracked = process.table.find(job_id)
            known = [] if tracked is None else tracked.results
            if known != results[: len(known)]:
                raise BrokenPromiseError(
                    f'process {number} believes in other results of {job_id}'
                )

    def _check_whole(self, job_id):
        tracked = self.processes[0].table.find(job_id)
        if tracked is None:
            raise BrokenPromiseError(f'{job_id} is not known')
        if not tracked.is_ended and not tracked.is_finished:
            missing = set(tracked.items) - tracked.finished_item_ids
            raise BrokenPromiseError(f'never listed: {sorted(missing)}')

    def _check_cause(self, job_id, item_id):
        """Check that an item may be given up."""
        accepted_at_version = self.jobs[job_id].version
        is_over = any(
            not any(
                one.kind is RouteKind.BATCH and one.prefix == ROUTE.prefix
                for one in ROUTE_SETS[name]
            )
            for version, name in self.routes_by_version.items()
            if version >= accepted_at_version
        )
        if not (
            is_over
            or (job_id, item_id) in self.impossible
            or job_id in self.ended
        ):
            raise BrokenPromiseError(f'{item_id} was given up')

    def _stored_version(self, job_id):
        """Return the version under which a job was stored.

        A submission without a confirmation may have stored it, so that its
        route may have ended before the one that was confirmed.
        """
        bodies = self.service.bodies(job_body_prefix(job_id))
        version = decode_job_parts(list(bodies.values())).config_version
        if version not in self.sent_at_versions[job_id]:
            raise BrokenPromiseError(f'{job_id} names version {version}')
        return version

    def _is_settled(self, process, since):
        since_s = trio.current_time() - since
        return process.link.is_in_touch and since_s > SETTLE_S


@contextlib.contextmanager
def virtual_clocks():
    """Have all modules under test use trio's clock inside the block."""
    fake = types.SimpleNamespace(
        monotonic=trio.current_time,
        time=lambda: UNIX_START_S + trio.current_time(),
    )
    originals = [module.time for module in _MODULES_WITH_CLOCKS]
    for module in _MODULES_WITH_CLOCKS:
        module.time = fake
    try:
        yield
    finally:
        for module, original in zip(
            _MODULES_WITH_CLOCKS, originals, strict=True
        ):
            module.time = original


async def play(events, process_count=3):
    """Play events, each a function of the world and a pause after it.

    :raises BrokenPromiseError: callers could read what is excluded.
    """
    with virtual_clocks():
        async with trio.open_nursery() as nursery:
            world = World(nursery, process_count)
            await trio.sleep(CONTACT_S)
            for event, pause_s in events:
                await event(world)
                await trio.sleep(pause_s)
                world.check_stored()
            await world.end_calmly()
            nursery.cancel_scope.cancel()
