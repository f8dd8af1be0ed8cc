"""Tests of items that name more tokens than the memory of an upstream."""

import contextlib

import attrs
import pytest
import trio
from eliot import add_destinations, remove_destination

from briarrill.coordination.capacity.work import UpstreamCapacity
from briarrill.item_runs.item import RunEnd
from briarrill.item_runs.wait_reasons import WaitReason
from briarrill.protocol.load_reports import LoadReport
from briarrill.state.stored_jobs import ItemState, job_creation_changes
from standins.platform_engine import (
    StandinEngine,
    reject_unexecuted,
    stream_events,
)
from tests.item_runs.test_scheduler import (
    BATCH_ROUTE,
    NOW_UNIX_S,
    UPSTREAM_SLOTS,
    SchedulerSetup,
)
from tests.serving import serve_standin
from tests.state.test_stored_jobs import make_job

MEMORY = 10_000
USUAL, LARGE, TOO_LARGE = 100, MEMORY - 500, MEMORY + 350


class LargeItems(SchedulerSetup):
    """A scheduler whose upstream has a configured memory."""

    def __init__(self, address, monkeypatch):
        super().__init__(address, monkeypatch)
        capacity = UpstreamCapacity(UPSTREAM_SLOTS, MEMORY)
        self.load.knowledge.capacities = lambda: {'llm': capacity}
        self.lines = []

    async def submit_sizes(self, *sizes, at=NOW_UNIX_S):
        """Store a job with an item of each size."""
        job = make_job('j1', len(sizes), submitted_at=at)
        items = tuple(
            attrs.evolve(stored, tokens=tokens)
            for stored, tokens in zip(job.items, sizes, strict=True)
        )
        job = attrs.evolve(
            job, route=BATCH_ROUTE.name, host=BATCH_ROUTE.host, items=items
        )
        await self.service.transact(job_creation_changes(job, 1_000_000))
        return self.jobs.add(job)

    def receive_online(self, sequence, count, tokens):
        """Report online requests of another process at the upstream."""
        report = LoadReport('entry', '127.0.0.2', 1, sequence)
        self.load.receive_report(
            attrs.evolve(report, online={'i-1': count}, tokens={'i-1': tokens})
        )

    def lines_of(self, kind):
        """Return the log lines of one kind."""
        return [line for line in self.lines if line['message_type'] == kind]


@pytest.fixture
def run_large_items(monkeypatch):
    @contextlib.asynccontextmanager
    async def start(*behaviours):
        engine = StandinEngine(*behaviours)
        async with (
            serve_standin(engine) as address,
            trio.open_nursery() as nursery,
        ):
            setup = LargeItems(address, monkeypatch)
            add_destinations(setup.lines.append)
            # the first destination gets the lines of earlier tests
            setup.lines.clear()
            nursery.start_soon(setup.committer.run)
            nursery.start_soon(setup.scheduler.run, lambda: setup.routes)
            try:
                with trio.fail_after(20):
                    yield setup, engine
            finally:
                remove_destination(setup.lines.append)
            nursery.cancel_scope.cancel()

    return start


async def _wait_until(condition):
    while not condition():
        await trio.sleep(0.01)


# guards against sound items that are given up for the output that they may
# have at most
async def test_items_that_may_exceed_the_memory_run_as_the_upstream_allows(
    run_large_items,
):
    async with run_large_items(stream_events(8)) as (setup, engine):
        tracked = await setup.submit_sizes(*[TOO_LARGE] * 5)
        await _wait_until(lambda: not tracked.is_open)
    assert {one.state for one in tracked.results} == {ItemState.COMPLETED}
    assert len(engine.requests) == 5


async def test_item_that_may_exceed_the_memory_runs_beside_online_requests(
    run_large_items,
):
    """No upstream of a busy fleet is ever idle."""
    async with run_large_items(stream_events(8)) as (setup, engine):
        setup.receive_online(1, count=2, tokens=2000)
        tracked = await setup.submit_sizes(TOO_LARGE)
        await _wait_until(lambda: not tracked.is_open)
    assert tracked.results[0].state is ItemState.COMPLETED
    assert len(engine.requests) == 1


async def test_item_that_may_exceed_the_memory_yields_it_to_online_requests(
    run_large_items,
):
    async with run_large_items(stream_events(50, pause_s=0.02)) as (
        setup,
        engine,
    ):
        tracked = await setup.submit_sizes(TOO_LARGE)
        await _wait_until(lambda: len(engine.requests) == 1)
        setup.receive_online(1, count=1, tokens=6000)
        setup.scheduler.wake()
        await _wait_until(lambda: engine.disconnects == 1)
        await trio.sleep(0.2)
        assert len(engine.requests) == 1
        setup.receive_online(2, count=0, tokens=0)
        await _wait_until(lambda: not tracked.is_open)
    assert tracked.results[0].state is ItemState.COMPLETED


async def test_item_that_upstreams_refuse_for_its_size_costs_little(
    run_large_items,
):
    """Sound items run at once, and the log tells why the other one waits."""

    def refuse_or_run(req, conn):
        is_sound = req.header(b'briarrill-attempt-id') != b'j1-0'
        respond = stream_events(3) if is_sound else reject_unexecuted()
        return respond(req, conn)

    async with run_large_items(refuse_or_run) as (setup, engine):
        tracked = await setup.submit_sizes(TOO_LARGE, *[USUAL] * 20)
        await _wait_until(lambda: len(tracked.results) == 20)
        await _wait_until(lambda: len(engine.requests) >= 23)
        await trio.sleep(1)
        assert len(engine.requests) <= 25
        (waits,) = setup.scheduler.waits.find(setup.routes)
    assert waits.reasons == {'j1-0': WaitReason.REFUSED_MEMORY}
    refused = [
        line
        for line in setup.lines_of('item:run-ended')
        if line['request_id'] == 'j1-0'
    ]
    assert {line['end'] for line in refused} == {RunEnd.REFUSED.name}
    assert {line['refusal'] for line in refused} == {'memory'}
    assert {line['tokens'] for line in refused} == {TOO_LARGE}


async def test_item_refused_for_its_size_is_given_up_when_it_expires(
    run_large_items, monkeypatch
):
    async with run_large_items(reject_unexecuted()) as (setup, engine):
        tracked = await setup.submit_sizes(TOO_LARGE)
        await _wait_until(lambda: len(engine.requests) == 3)
        assert tracked.is_open
        expired_at = NOW_UNIX_S + BATCH_ROUTE.item_ttl_s + 6
        monkeypatch.setattr('time.time', lambda: expired_at)
        await _wait_until(lambda: not tracked.is_open)
    assert tracked.results[0].state is ItemState.ERRORED
    (line,) = setup.lines_of('item:given-up')
    assert line['reason'] == 'expired'
    assert line['refusal'] == 'memory'
    assert line['refusals'] >= 3
    assert line['tokens'] == TOO_LARGE


# guards against small items that wait beside free slots behind the first large
# one that does not fit
async def test_first_large_item_does_not_hold_up_small_ones(run_large_items):
    async with run_large_items(stream_events(3)) as (setup, engine):
        setup.receive_online(1, count=1, tokens=1100)
        tracked = await setup.submit_sizes(LARGE, *[USUAL] * 5)
        await _wait_until(lambda: len(tracked.results) == 5)
        assert len(engine.requests) == 5
        (waits,) = setup.scheduler.waits.find(setup.routes)
        assert waits.reasons == {'j1-0': WaitReason.FULL}
        setup.receive_online(2, count=0, tokens=0)
        await _wait_until(lambda: not tracked.is_open)
