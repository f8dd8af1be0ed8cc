"""Items whose route changes between their choice and the end of their run."""

import contextlib

import attrs
import pytest
import trio

from briarrill.coordination.routes import RouteTable, Target
from briarrill.item_runs.handover import Handover
from briarrill.item_runs.item import ItemProgress
from briarrill.item_runs.wait_reasons import Refusal
from briarrill.state.stored_jobs import ItemState
from standins.platform_engine import (
    StandinEngine,
    respond_with,
    stream_events,
)
from tests.item_runs.test_scheduler import BATCH_ROUTE, SchedulerSetup
from tests.serving import serve_standin

CHANGED_ROUTES = {
    'moved': attrs.evolve(BATCH_ROUTE, targets=(Target('other'),)),
    'ended': attrs.evolve(BATCH_ROUTE, name='ended', host='other'),
    'kept': attrs.evolve(BATCH_ROUTE, targets=(Target('llm'), Target('b'))),
}


@pytest.fixture
def run_scheduler(monkeypatch):
    """Run a scheduler with an engine of each of two services."""

    @contextlib.asynccontextmanager
    async def start(*behaviours):
        first = StandinEngine(*behaviours)
        other = StandinEngine(stream_events(2))
        async with (
            serve_standin(first) as address,
            serve_standin(other) as other_address,
            trio.open_nursery() as nursery,
        ):
            setup = SchedulerSetup(address, monkeypatch)
            setup.slots.upstreams.register(
                attrs.evolve(
                    setup.upstream,
                    upstream_id='i-2',
                    service='other',
                    address=other_address,
                )
            )
            nursery.start_soon(setup.committer.run)
            nursery.start_soon(setup.scheduler.run, lambda: setup.routes, bool)
            with trio.fail_after(20):
                yield setup, first, other
            nursery.cancel_scope.cancel()

    return start


async def run_item(setup):
    """Run an item of a job until its result is listed; return the state."""
    tracked = await setup.submit(1)
    while tracked.is_open:
        await trio.sleep(0.01)
    return tracked.results[0].state


async def test_item_does_not_run_where_its_route_led_when_it_was_chosen(
    run_scheduler, monkeypatch
):
    """Guards against runs at a service of an older configuration."""
    async with run_scheduler(stream_events(2)) as (setup, first, other):

        async def acquire(handover, progress):
            setup.routes = RouteTable(2, (CHANGED_ROUTES['moved'],))
            return True

        monkeypatch.setattr(Handover, 'acquire', acquire)
        assert await run_item(setup) is ItemState.COMPLETED
        assert not first.requests
        assert len(other.requests) == 1


@pytest.mark.parametrize('change', CHANGED_ROUTES)
async def test_run_is_refused_unless_the_route_still_leads_there(
    run_scheduler, change
):
    async with run_scheduler(stream_events(2)) as (setup, first, _):
        setup.routes = RouteTable(1, ())
        tracked = await setup.submit(1)
        await trio.testing.wait_all_tasks_blocked()
        setup.routes = RouteTable(2, (CHANGED_ROUTES[change],))
        progress = ItemProgress('j1', tracked.job.items[0])
        await setup.scheduler._runner.run(
            progress, BATCH_ROUTE, 'h', setup.upstream
        )
        is_refused = progress.refusal is Refusal.ROUTE
        assert is_refused == (change != 'kept')
        assert bool(first.requests) != is_refused


@pytest.mark.parametrize(
    ('before', 'after', 'runs', 'state'),
    [(1, 3, 3, ItemState.COMPLETED), (3, 1, 1, ItemState.ERRORED)],
)
async def test_attempts_are_those_of_the_route_in_force(
    run_scheduler, before, after, runs, state
):
    """Guards against items that are given up by an older configuration."""
    fail = respond_with(b'', 500)

    async def change_and_fail(req, conn):
        changed = attrs.evolve(BATCH_ROUTE, max_attempts=after)
        setup.routes = RouteTable(2, (changed,))
        await fail(req, conn)

    async with run_scheduler(
        change_and_fail, change_and_fail, stream_events(2)
    ) as (setup, first, _):
        attempts = attrs.evolve(BATCH_ROUTE, max_attempts=before)
        setup.routes = RouteTable(1, (attempts,))
        assert await run_item(setup) is state
        assert len(first.requests) == runs
