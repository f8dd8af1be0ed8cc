"""Tests of the order of items whose job has several routes."""

import time

import attrs
import pytest

from briarrill.coordination.job_table import JobTable
from briarrill.coordination.routes import RouteKind, RouteTable, Target
from briarrill.item_runs.item import ItemProgress
from briarrill.item_runs.item_order import ItemOrder
from standins.memory_key_value import MemoryKeyValue
from tests.relay.front_end_setup import route
from tests.state.test_stored_jobs import make_job

MANY_PLACES = 100
SERVICES = ('one', 'two')
ROUTES = tuple(
    attrs.evolve(
        route(RouteKind.BATCH, completion_objective_s=60, item_ttl_s=60),
        name=service,
        prefix=f'/{service}/',
        targets=(Target(service),),
    )
    for service in SERVICES
)
TABLE = RouteTable(1, ROUTES)


@pytest.fixture
def order():
    """The order of the items of a job with one item on each route."""
    jobs = JobTable(MemoryKeyValue())
    order = ItemOrder('me', jobs, dict)
    job = make_job(count=len(SERVICES), submitted_at=time.time())
    items = tuple(
        attrs.evolve(stored, path=f'/{service}/x')
        for stored, service in zip(job.items, SERVICES, strict=True)
    )
    jobs.add(attrs.evolve(job, host=ROUTES[0].host, items=items, prefix='/'))
    return order


def ranks(order):
    """Return the rank of each item of the job."""
    (tracked,) = order.jobs.tracked_jobs
    return [
        order.urgency(ItemProgress('j1', stored), tracked, of_item)[0]
        for stored, of_item in zip(tracked.job.items, ROUTES, strict=True)
    ]


@pytest.mark.parametrize('full', SERVICES)
def test_part_of_a_job_is_timely_by_the_places_of_its_own_service(order, full):
    """Guards against items that are late for another service's lack."""
    order.choose_timely_jobs(
        TABLE, lambda one: 0 if one.name == full else MANY_PLACES
    )
    full_rank, other_rank = ranks(order)[:: 1 if full == 'one' else -1]
    assert other_rank < full_rank


def test_parts_of_a_job_have_the_same_rank_if_both_have_places(order):
    order.choose_timely_jobs(TABLE, lambda _: MANY_PLACES)
    assert len(set(ranks(order))) == 1
