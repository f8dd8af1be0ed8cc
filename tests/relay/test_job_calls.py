"""Tests of job requests while the key-value service fails or loses replies."""

import contextlib
import json
import math

import attrs
import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from briarrill.coordination.hedged_writes import HedgedWrites
from briarrill.coordination.job_table import MAX_ABSENCE_AGE_S, JobTable
from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.relay_protocol import Intent, IntentKind
from briarrill.coordination.routes import RouteKind, RouteTable
from briarrill.errors import (
    BadRequestError,
    BatchItemsLimitError,
    NotFoundError,
    NotReadyError,
    OutcomeUnknownError,
    PlatformUnavailableError,
    TooLargeError,
    WriteRefusedError,
)
from briarrill.platform.job_messages import PlatformJobProtocol
from briarrill.relay import job_calls
from briarrill.relay.job_calls import JobRequestHandler
from briarrill.state.keys import job_end_key, job_results_prefix
from briarrill.state.stored_jobs import (
    ItemState,
    StoredResult,
    job_creation_changes,
    result_creation_changes,
)
from briarrill.transport.key_value import KeyChange, TransactionLimits
from standins.memory_key_value import MemoryKeyValue
from tests.relay.front_end_setup import route
from tests.state.test_stored_jobs import make_job

BATCH_ROUTE = route(RouteKind.BATCH, max_unfinished_tokens=1000)
ROUTES = RouteTable(0, (BATCH_ROUTE,))


def make_batch_job(job_id):
    """Return a job that an earlier release stored for the batch route."""
    return attrs.evolve(
        make_job(job_id), route=BATCH_ROUTE.name, host=BATCH_ROUTE.host
    )


class RecordedResponses:
    """Records the responses sent on a connection."""

    def __init__(self):
        self.sent = []

    async def before_long_response(self):
        """Have a turn at once."""

    async def send_response(self, status, headers, body):
        self.sent.append((status, body))


class EntryHandler:
    """The job request handler of one entry."""

    def __init__(self, service):
        load = LoadExchange('me', '127.0.0.1', 0, (), lambda report: report)
        self.table = JobTable(service)
        self.conn = RecordedResponses()
        self._handler = JobRequestHandler(
            HedgedWrites(service, load, 1),
            self.table,
            PlatformJobProtocol(),
            1_000_000,
            is_behind=lambda: self.is_behind,
            has_latest_results=self._has_latest_results,
            count_tokens=self._count_tokens,
        )
        self.is_behind = False
        self.is_confirmed = True
        self.has_all_jobs = True

    async def __call__(self, kind, body=b'', **fields):
        intent = Intent(kind, 'r', BATCH_ROUTE, math.inf, 'j1', routes=ROUTES)
        intent = attrs.evolve(intent, **fields)
        await self._handler.serve(intent, body, self.conn)
        return self.conn.sent[-1]

    def follow(self, mirror):
        """Let a mirror tell whether the table is behind."""
        self._handler.is_behind = lambda: mirror.is_behind

    async def submit(
        self, job_id='j1', tokens=10, route=BATCH_ROUTE, config_version=0
    ):
        body = (
            b'{"items":[{"id":"e","path":"/p","headers":{},"body":"",'
            b'"tokens":%d}]}' % tokens
        )
        return await self(
            IntentKind.SUBMIT_JOB,
            body,
            job_id=job_id,
            route=route,
            routes=RouteTable(config_version, (route,)),
        )

    async def _has_latest_results(self):
        return self.is_confirmed

    async def _count_tokens(self, route, routes, customer):
        if not self.has_all_jobs:
            return None
        return self.table.unfinished_tokens(route, routes, customer)


@pytest.fixture
def service():
    return MemoryKeyValue()


async def test_repeated_submission_at_any_entry_stores_job_once(service):
    first_entry, second_entry = EntryHandler(service), EntryHandler(service)
    assert (await first_entry.submit())[0] == 202
    assert (await second_entry.submit())[0] == 202
    assert (await first_entry.submit())[0] == 202
    assert service.revision == 1


async def test_stored_job_names_the_configuration_that_accepted_it(service):
    entry = EntryHandler(service)
    await entry.submit(config_version=8)
    reader = JobTable(service)
    await reader.read('j1')
    assert reader.find('j1').job.config_version == 8


async def test_job_above_route_token_limit_is_rejected_everywhere(service):
    first_entry, second_entry = EntryHandler(service), EntryHandler(service)
    await first_entry.submit(tokens=900)
    await second_entry.table.read('j1')
    with pytest.raises(BatchItemsLimitError) as caught:
        await second_entry.submit('j2', tokens=200)
    assert caught.value.retry_after_s
    assert (await second_entry.submit('j1', tokens=900))[0] == 202


async def test_submission_waits_until_the_unfinished_tokens_are_known(service):
    entry = EntryHandler(service)
    entry.has_all_jobs = False
    with pytest.raises(NotReadyError) as caught:
        await entry.submit()
    assert caught.value.retry_after_s
    assert service.revision == 0
    entry.has_all_jobs = True
    assert (await entry.submit())[0] == 202


async def test_stored_job_is_accepted_again_before_all_are_known(service):
    assert (await EntryHandler(service).submit())[0] == 202
    entry = EntryHandler(service)
    entry.has_all_jobs = False
    assert (await entry.submit())[0] == 202
    assert service.revision == 1


async def test_route_without_limit_accepts_jobs_before_all_are_known(service):
    entry = EntryHandler(service)
    entry.has_all_jobs = False
    unlimited = attrs.evolve(BATCH_ROUTE, max_unfinished_tokens=0)
    assert (await entry.submit(route=unlimited))[0] == 202


async def test_repeated_submission_succeeds_at_token_limit(service):
    first_entry, second_entry = EntryHandler(service), EntryHandler(service)
    await first_entry.submit(tokens=900)
    second_entry.table.add(make_batch_job('x'))
    second_entry.table.find('x').unfinished_tokens = 950
    assert (await second_entry.submit(tokens=900))[0] == 202


PARTS = tuple(
    attrs.evolve(BATCH_ROUTE, name=part, prefix=f'/batch/{part}/')
    for part in ('one', 'two')
)
BEFORE_SPLIT = RouteTable(
    1, (attrs.evolve(BATCH_ROUTE, max_unfinished_tokens=2000),)
)
SPLIT = RouteTable(2, PARTS)
NAMES_EXCHANGED = RouteTable(
    3,
    tuple(
        attrs.evolve(part, name=other.name)
        for part, other in zip(PARTS, reversed(PARTS), strict=True)
    ),
)


async def submit_to(entry, job_id, target, routes, **tokens):
    """Submit a job to a route with an item of so many tokens on each part."""
    items = [
        {'id': f'{job_id}-{part}', 'path': f'/batch/{part}/x', 'tokens': count}
        | {'headers': {}, 'body': ''}
        for part, count in tokens.items()
    ]
    return await entry(
        IntentKind.SUBMIT_JOB,
        json.dumps({'items': items}).encode(),
        job_id=job_id,
        route=target,
        routes=routes,
    )


async def test_items_of_a_split_route_count_for_the_limits_of_its_parts(
    service,
):
    """Guards against waiting items that no route's limit counts."""
    entry = EntryHandler(service)
    (whole,) = BEFORE_SPLIT.routes
    one, two = SPLIT.routes
    await submit_to(entry, 'j1', whole, BEFORE_SPLIT, one=200, two=900)
    with pytest.raises(BatchItemsLimitError):
        await submit_to(entry, 'j2', two, SPLIT, two=200)
    assert (await submit_to(entry, 'j3', one, SPLIT, one=700))[0] == 202
    with pytest.raises(BatchItemsLimitError):
        await submit_to(entry, 'j4', one, SPLIT, one=200)


async def test_job_has_to_fit_the_limits_of_all_routes_of_its_items(service):
    entry = EntryHandler(service)
    (whole,) = BEFORE_SPLIT.routes
    routes = RouteTable(2, (whole, *PARTS))
    with pytest.raises(BatchItemsLimitError):
        await submit_to(entry, 'j1', whole, routes, one=10, two=1100)
    accepted = await submit_to(entry, 'j2', whole, routes, one=900, two=900)
    assert accepted[0] == 202


async def test_route_does_not_pay_for_another_one_that_had_its_name(service):
    """Guards against limits by the names of routes."""
    entry = EntryHandler(service)
    one, _ = SPLIT.routes
    await submit_to(entry, 'j1', one, SPLIT, one=900)
    one, two = NAMES_EXCHANGED.routes
    assert two.name == SPLIT.routes[0].name
    accepted = await submit_to(entry, 'j2', two, NAMES_EXCHANGED, two=900)
    assert accepted[0] == 202
    with pytest.raises(BatchItemsLimitError):
        await submit_to(entry, 'j3', one, NAMES_EXCHANGED, one=200)


async def test_lost_write_reply_returns_outcome_unknown(service):
    service.delay_writes = 5
    with pytest.raises(OutcomeUnknownError) as caught:
        await EntryHandler(service).submit()
    assert caught.value.http_status == 502


async def test_service_outage_is_unavailable_with_retry_after(service):
    service.is_down = True
    entry = EntryHandler(service)
    with pytest.raises(PlatformUnavailableError) as caught:
        await entry.submit()
    assert caught.value.http_status == 503
    assert caught.value.retry_after_s
    with pytest.raises(PlatformUnavailableError):
        await entry(IntentKind.READ_RESULTS)


async def test_job_that_cannot_be_stored_is_too_large(service):
    """The service would refuse it for ever, and the caller come back."""
    service.limits = TransactionLimits(1, 1_000_000)
    with pytest.raises(TooLargeError):
        await EntryHandler(service).submit()
    assert service.calls['txn'] == 0


async def test_refused_write_of_a_job_is_not_repeated(service):
    class Service(MemoryKeyValue):
        async def transact(self, changes):
            self.calls['txn'] += 1
            raise WriteRefusedError('refused')

    refusing = Service()
    with pytest.raises(WriteRefusedError):
        await EntryHandler(refusing).submit()
    assert refusing.calls['txn'] == 1


async def test_unknown_job_raises_not_found(service):
    entry = EntryHandler(service)
    for kind in (
        IntentKind.READ_RESULTS,
        IntentKind.READ_ITEM,
        IntentKind.END_JOB,
    ):
        with pytest.raises(NotFoundError):
            await entry(kind)


async def test_position_beyond_local_results_reads_the_service(service):
    """The caller has read a result at another entry that this table lacks."""
    entry = EntryHandler(service)
    job = make_job()
    await service.transact(job_creation_changes(job, 1_000_000))
    entry.table.add(job)
    stored_results = [StoredResult('j1-0', ItemState.COMPLETED, 'x')]
    await service.transact(
        result_creation_changes('j1', 0, stored_results * 2)
    )
    status, body = await entry(IntentKind.READ_RESULTS, position=1)
    assert (status, b'"next_token":2' in body) == (200, True)


async def test_lagging_job_table_reads_the_service(service):
    """The entry's job table lags because its link to the service is slow."""
    entry = EntryHandler(service)
    job = make_job(count=2)
    await service.transact(job_creation_changes(job, 1_000_000))
    entry.table.add(job)
    stored_results = [StoredResult('j1-0', ItemState.COMPLETED, 'x')]
    await service.transact(result_creation_changes('j1', 0, stored_results))
    _, body = await entry(IntentKind.READ_RESULTS, position=0)
    assert b'"next_token":0' in body
    entry.is_behind = True
    _, body = await entry(IntentKind.READ_RESULTS, position=0)
    assert b'"next_token":1' in body


async def test_item_body_is_served_until_the_job_ends(service):
    entry = EntryHandler(service)
    job = make_job()
    await service.transact(job_creation_changes(job, 1_000_000))
    status, body = await entry(IntentKind.READ_ITEM, item_id='j1-1')
    assert (status, body) == (200, b'body')
    assert (await entry(IntentKind.END_JOB))[0] == 200
    with pytest.raises(NotFoundError):
        await entry(IntentKind.READ_ITEM, item_id='j1-1')
    second_entry = EntryHandler(service)
    await second_entry.table.read('j1')
    assert second_entry.table.find('j1').is_ended


@pytest.mark.parametrize(
    ('body', 'job_id'),
    [(b'{"items":[]}', 'j1'), (b'nonsense', 'j1'), (b'{}', 'a/b')],
)
async def test_invalid_submission_raises_bad_request_and_stores_nothing(
    service, body, job_id
):
    with pytest.raises(BadRequestError):
        await EntryHandler(service)(IntentKind.SUBMIT_JOB, body, job_id=job_id)
    assert service.revision == 0


class PartlyUnreadableService(MemoryKeyValue):
    """Fails the reads of some keys, or delays them.

    :ivar failing: prefixes whose reads fail.
    :ivar slow: prefixes whose reads wait until ``released`` is set.
    """

    def __init__(self):
        super().__init__()
        self.failing = set()
        self.slow = set()
        self.released = trio.Event()

    async def read(self, key):
        await self._pass(key)
        return await super().read(key)

    async def read_prefix(self, prefix, *, after='', limit=0):
        await self._pass(prefix)
        return await super().read_prefix(prefix, after=after, limit=limit)

    async def _pass(self, key):
        if key in self.failing:
            raise PlatformUnavailableError('injected fault', retry_after_s=1.0)
        if key in self.slow:
            await self.released.wait()


RESULTS = job_results_prefix('j1')


@pytest.fixture
async def partly_unreadable():
    """Return a service that holds a job with one of three results."""
    service = PartlyUnreadableService()
    await service.transact(job_creation_changes(make_job(), 1_000_000))
    stored = [StoredResult('j1-0', ItemState.COMPLETED, 'x')]
    await service.transact(result_creation_changes('j1', 0, stored))
    return service


def results_in(response):
    """Return the results in a response with status 200."""
    status, body = response
    assert status == 200
    return [result['id'] for result in json.loads(body)['results']]


async def test_no_read_shows_a_job_whose_results_could_not_be_read(
    partly_unreadable,
):
    entry = EntryHandler(partly_unreadable)
    partly_unreadable.failing.add(RESULTS)
    for _ in range(3):
        with pytest.raises(PlatformUnavailableError) as caught:
            await entry(IntentKind.READ_RESULTS)
        assert caught.value.retry_after_s
    partly_unreadable.failing.clear()
    assert results_in(await entry(IntentKind.READ_RESULTS)) == ['j1-0']


async def test_readers_during_a_slow_read_get_its_results(partly_unreadable):
    entry = EntryHandler(partly_unreadable)
    partly_unreadable.slow.add(RESULTS)
    pages = []

    async def read_page():
        pages.append(results_in(await entry(IntentKind.READ_RESULTS)))

    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            for _ in range(4):
                nursery.start_soon(read_page)
                await wait_all_tasks_blocked()
            assert not pages
            calls_before = partly_unreadable.calls['range']
            partly_unreadable.released.set()
    assert pages == [['j1-0']] * 4
    # one read of the job for all: record, results and end
    assert partly_unreadable.calls['range'] - calls_before <= 3


async def test_reader_that_leaves_does_not_end_the_read_of_others(
    partly_unreadable,
):
    entry = EntryHandler(partly_unreadable)
    partly_unreadable.slow.add(RESULTS)
    pages = []

    async def read_page():
        pages.append(results_in(await entry(IntentKind.READ_RESULTS)))

    with trio.fail_after(5):
        async with trio.open_nursery() as nursery:
            leaving = trio.CancelScope()

            async def leave():
                with leaving:
                    await read_page()

            nursery.start_soon(leave)
            await wait_all_tasks_blocked()
            nursery.start_soon(read_page)
            await wait_all_tasks_blocked()
            leaving.cancel()
            await wait_all_tasks_blocked()
            partly_unreadable.released.set()
    assert pages == [['j1-0']]


async def test_repeated_submission_shows_no_job_whose_results_are_unread(
    partly_unreadable,
):
    """The submission reads the job because the route's limit is reached."""
    entry = EntryHandler(partly_unreadable)
    entry.table.add(make_batch_job('x'))
    entry.table.find('x').unfinished_tokens = 1000
    partly_unreadable.failing.add(RESULTS)
    with pytest.raises(PlatformUnavailableError):
        await entry.submit(tokens=300)
    with pytest.raises(PlatformUnavailableError):
        await entry(IntentKind.READ_RESULTS)
    partly_unreadable.failing.clear()
    assert (await entry.submit(tokens=300))[0] == 202
    assert results_in(await entry(IntentKind.READ_RESULTS)) == ['j1-0']


async def test_job_whose_end_could_not_be_read_shows_no_body(
    partly_unreadable,
):
    entry = EntryHandler(partly_unreadable)
    await partly_unreadable.transact([KeyChange(job_end_key('j1'), b'1')])
    partly_unreadable.failing.add(job_end_key('j1'))
    for _ in range(2):
        with pytest.raises(PlatformUnavailableError):
            await entry(IntentKind.READ_ITEM, item_id='j1-1')
    partly_unreadable.failing.clear()
    with pytest.raises(NotFoundError):
        await entry(IntentKind.READ_ITEM, item_id='j1-1')


async def test_lagging_table_reads_the_results_of_an_ended_job(
    partly_unreadable,
):
    entry = EntryHandler(partly_unreadable)
    entry.table.add(make_job()).mark_ended()
    entry.is_behind = True
    assert results_in(await entry(IntentKind.READ_RESULTS)) == ['j1-0']


async def test_lagging_table_that_cannot_read_rejects_the_request(
    partly_unreadable,
):
    entry = EntryHandler(partly_unreadable)
    entry.table.add(make_job())
    entry.is_behind = True
    partly_unreadable.failing.add(RESULTS)
    with pytest.raises(PlatformUnavailableError) as caught:
        await entry(IntentKind.READ_RESULTS)
    assert caught.value.http_status == 503
    assert caught.value.retry_after_s


async def test_waiting_reader_gets_results_that_a_lagging_table_misses(
    partly_unreadable, autojump_clock
):
    entry = EntryHandler(partly_unreadable)
    entry.table.add(make_job())
    await entry.table.read('j1')
    pages = []

    async def read_page():
        response = await entry(IntentKind.READ_RESULTS, position=1, wait_s=1.0)
        pages.append(results_in(response))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(read_page)
        await wait_all_tasks_blocked()
        stored = [StoredResult('j1-1', ItemState.COMPLETED, 'y')]
        await partly_unreadable.transact(
            result_creation_changes('j1', 1, stored)
        )
        entry.is_behind = True
    assert pages == [['j1-1']]


async def test_readers_of_a_lagging_table_share_one_read(partly_unreadable):
    entry = EntryHandler(partly_unreadable)
    entry.table.add(make_job())
    entry.is_behind = True
    partly_unreadable.slow.add(RESULTS)
    pages = []

    async def read_page():
        pages.append(results_in(await entry(IntentKind.READ_RESULTS)))

    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(read_page)
        await wait_all_tasks_blocked()
        calls_before = partly_unreadable.calls['range']
        partly_unreadable.released.set()
    assert pages == [['j1-0']] * 4
    assert partly_unreadable.calls['range'] - calls_before <= 3


async def test_lagging_table_reads_a_job_again_after_the_validity(
    partly_unreadable, autojump_clock
):
    entry = EntryHandler(partly_unreadable)
    entry.is_behind = True
    await entry(IntentKind.READ_RESULTS)
    calls_before = partly_unreadable.calls['range']
    for _ in range(3):
        await entry(IntentKind.READ_RESULTS, position=1)
    assert partly_unreadable.calls['range'] == calls_before
    await trio.sleep(job_calls.RESULTS_VALIDITY_S)
    await entry(IntentKind.READ_RESULTS, position=1)
    assert partly_unreadable.calls['range'] == calls_before + 1


async def test_wait_for_results_counts_from_the_arrival_of_the_request(
    partly_unreadable, autojump_clock
):
    entry = EntryHandler(partly_unreadable)
    partly_unreadable.slow.add(RESULTS)
    arrived_at = trio.current_time()
    async with trio.open_nursery() as nursery:

        async def release():
            await trio.sleep(0.7)
            partly_unreadable.released.set()

        nursery.start_soon(release)
        await entry(IntentKind.READ_RESULTS, position=1, wait_s=1.0)
    assert trio.current_time() - arrived_at == pytest.approx(1.0)


async def test_unconfirmed_table_reads_what_it_lacks(
    partly_unreadable, autojump_clock
):
    """The table follows the service as far as it knows."""
    entry = EntryHandler(partly_unreadable)
    entry.table.add(make_job())
    entry.is_confirmed = False
    assert results_in(await entry(IntentKind.READ_RESULTS)) == ['j1-0']
    partly_unreadable.failing.add(RESULTS)
    assert results_in(await entry(IntentKind.READ_RESULTS)) == ['j1-0']
    assert not results_in(await entry(IntentKind.READ_RESULTS, position=1))
    await trio.sleep(MAX_ABSENCE_AGE_S)
    with pytest.raises(PlatformUnavailableError) as caught:
        await entry(IntentKind.READ_RESULTS, position=1)
    assert caught.value.retry_after_s


async def test_job_that_is_read_anew_meanwhile_is_not_told_from_the_old_copy(
    service, autojump_clock
):
    """A list of keys that lacked the job has removed it from the table."""
    entry = EntryHandler(service)
    job = make_job('j1', 2)
    changes = job_creation_changes(job, 1_000_000)
    await service.transact(changes)
    entry.table.add(job)
    pages = []

    async def read_page():
        with contextlib.suppress(PlatformUnavailableError):
            response = await entry(
                IntentKind.READ_RESULTS, position=0, wait_s=0.6
            )
            pages.append(results_in(response))

    async with trio.open_nursery() as nursery:
        nursery.start_soon(read_page)
        await trio.sleep(0.2)
        entry.table.apply_key(changes[0].key, None)
        result = StoredResult('j1-0', ItemState.COMPLETED, 'x')
        await service.transact(result_creation_changes('j1', 0, [result]))
        await entry.table.read('j1')
    assert [] not in pages
