"""Job calls beside a service that refuses, loses replies or is away."""

import math

import attrs
import pytest

from briarrill.coordination.hedged_writes import HedgedWrites
from briarrill.coordination.job_table import JobTable
from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.routes import RouteKind
from briarrill.coordination.wire import Intent, IntentKind
from briarrill.errors import (
    BadRequestError,
    BatchItemsLimitError,
    NotFoundError,
    OutcomeUnknownError,
    PlatformUnavailableError,
)
from briarrill.platform.job_messages import PlatformJobWire
from briarrill.relay.job_calls import JobCalls
from briarrill.state.stored_jobs import (
    ItemState,
    StoredResult,
    job_changes,
    result_changes,
)
from standins.memory_key_value import MemoryKeyValue
from tests.relay.world import route
from tests.state.test_stored_jobs import make_job

BATCH = route(RouteKind.BATCH, max_waiting_tokens=1000)


class Answers:
    """Takes the answers of a connection."""

    def __init__(self):
        self.found = []

    async def send_answer(self, status, headers, body):
        self.found.append((status, body))


class Calls:
    """The calls of one entry."""

    def __init__(self, service):
        load = LoadExchange('me', '127.0.0.1', 0, (), lambda report: report)
        self.table = JobTable(service)
        self.conn = Answers()
        self._calls = JobCalls(
            HedgedWrites(service, load, 1),
            self.table,
            PlatformJobWire(),
            1_000_000,
            is_behind=lambda: self.is_behind,
        )
        self.is_behind = False

    async def __call__(self, kind, body=b'', **fields):
        intent = Intent(kind, 'r', BATCH, math.inf, 'j1')
        intent = attrs.evolve(intent, **fields)
        await self._calls.serve(intent, body, self.conn)
        return self.conn.found[-1]

    async def submit(self, job_id='j1', tokens=10):
        body = (
            b'{"items":[{"id":"e","path":"/p","headers":{},"body":"",'
            b'"tokens":%d}]}' % tokens
        )
        return await self(IntentKind.SUBMIT_JOB, body, job_id=job_id)


@pytest.fixture
def service():
    return MemoryKeyValue()


async def test_job_is_accepted_once_by_whatever_entry(service):
    first, second = Calls(service), Calls(service)
    assert (await first.submit())[0] == 202
    assert (await second.submit())[0] == 202
    assert (await first.submit())[0] == 202
    assert service.revision == 1


async def test_waiting_tokens_are_bounded_over_all_entries(service):
    first, second = Calls(service), Calls(service)
    await first.submit(tokens=900)
    await second.table.read('j1')
    with pytest.raises(BatchItemsLimitError) as caught:
        await second.submit('j2', tokens=200)
    assert caught.value.retry_after_s
    assert (await second.submit('j1', tokens=900))[0] == 202


async def test_repeat_of_an_accepted_job_is_not_refused_for_room(service):
    first, second = Calls(service), Calls(service)
    await first.submit(tokens=900)
    second.table.add(attrs.evolve(make_job('x'), route=BATCH.name))
    second.table.find('x').waiting_tokens = 950
    assert (await second.submit(tokens=900))[0] == 202


async def test_lost_reply_is_not_called_a_refusal(service):
    service.delay_writes = 5
    with pytest.raises(OutcomeUnknownError) as caught:
        await Calls(service).submit()
    assert caught.value.http_status == 502


async def test_service_that_is_away_is_a_refusal(service):
    service.down = True
    calls = Calls(service)
    with pytest.raises(PlatformUnavailableError) as caught:
        await calls.submit()
    assert caught.value.http_status == 503
    assert caught.value.retry_after_s
    with pytest.raises(PlatformUnavailableError):
        await calls(IntentKind.READ_RESULTS)


async def test_unknown_job_is_not_found(service):
    calls = Calls(service)
    for kind in (
        IntentKind.READ_RESULTS,
        IntentKind.READ_ITEM,
        IntentKind.END_JOB,
    ):
        with pytest.raises(NotFoundError):
            await calls(kind)


async def test_position_read_elsewhere_is_found_here(service):
    """The caller has read one result more than this entry knows."""
    calls = Calls(service)
    job = make_job()
    await service.transact(job_changes(job, 1_000_000))
    calls.table.add(job)
    found = [StoredResult('j1-0', ItemState.COMPLETED, 'x')]
    await service.transact(result_changes('j1', 0, found * 2))
    status, body = await calls(IntentKind.READ_RESULTS, position=1)
    assert (status, b'"next_token":2' in body) == (200, True)


async def test_entry_that_is_behind_asks_the_service(service):
    """Its copy lags on a slow link; the caller reads from the start."""
    calls = Calls(service)
    job = make_job(count=2)
    await service.transact(job_changes(job, 1_000_000))
    calls.table.add(job)
    found = [StoredResult('j1-0', ItemState.COMPLETED, 'x')]
    await service.transact(result_changes('j1', 0, found))
    _, body = await calls(IntentKind.READ_RESULTS, position=0)
    assert b'"next_token":0' in body
    calls.is_behind = True
    _, body = await calls(IntentKind.READ_RESULTS, position=0)
    assert b'"next_token":1' in body


async def test_body_of_an_item_until_the_job_ends(service):
    calls = Calls(service)
    job = make_job()
    await service.transact(job_changes(job, 1_000_000))
    status, body = await calls(IntentKind.READ_ITEM, item_id='j1-1')
    assert (status, body) == (200, b'body')
    assert (await calls(IntentKind.END_JOB))[0] == 200
    with pytest.raises(NotFoundError):
        await calls(IntentKind.READ_ITEM, item_id='j1-1')
    other = Calls(service)
    await other.table.read('j1')
    assert other.table.find('j1').is_ended


@pytest.mark.parametrize(
    ('body', 'job_id'),
    [(b'{"items":[]}', 'j1'), (b'nonsense', 'j1'), (b'{}', 'a/b')],
)
async def test_what_is_no_job(service, body, job_id):
    with pytest.raises(BadRequestError):
        await Calls(service)(IntentKind.SUBMIT_JOB, body, job_id=job_id)
    assert service.revision == 0
