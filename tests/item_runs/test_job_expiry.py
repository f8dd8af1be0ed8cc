"""Tests of giving up the items of jobs that are over.

A process may have older routes than the entry that accepted a job. It listed
all items of such a job as errored.
"""

import time

import attrs
import pytest
import trio

from briarrill.coordination.job_table import JobTable
from briarrill.coordination.routes import RouteKind, RouteTable
from briarrill.item_runs.item import ItemProgress, RunningItem
from briarrill.item_runs.item_order import ItemOrder
from briarrill.item_runs.job_expiry import JobExpiry
from briarrill.item_runs.local_items import LocalItems
from briarrill.item_runs.result_commits import Committer
from briarrill.state.stored_jobs import ItemState, job_creation_changes
from standins.memory_key_value import MemoryKeyValue
from tests.relay.front_end_setup import route
from tests.state.test_stored_jobs import make_job

ITEMS = 3
ROUTE = route(RouteKind.BATCH, item_ttl_s=60, completion_objective_s=18)
OTHER_ROUTE = attrs.evolve(ROUTE, name='other', prefix='/other/')
MOVED_ROUTE = attrs.evolve(ROUTE, name='renamed', prefix='/')

ACCEPTED_AT_VERSION = 8
WITHOUT_ROUTE = {
    version: RouteTable(version, (OTHER_ROUTE,)) for version in (7, 8, 9)
}
WITH_ROUTE = {
    version: RouteTable(version, (OTHER_ROUTE, ROUTE)) for version in (8, 9)
}


class ExpirySetup:
    """The items of one job at one process."""

    def __init__(self, **fields):
        self.service = MemoryKeyValue()
        self.table = JobTable(self.service)
        self.committer = Committer(self.service, self.table)
        self.local_items = LocalItems(self.committer, {})
        self.order = ItemOrder(
            'me', self.table, self.local_items.ran_s_by_item
        )
        self.expiry = JobExpiry(
            self.table, self.order, self.committer, self.local_items
        )
        job = make_job(count=ITEMS, submitted_at=time.time())
        self.job = attrs.evolve(
            job,
            route=ROUTE.name,
            host=ROUTE.host,
            config_version=ACCEPTED_AT_VERSION,
            **fields,
        )
        trio.run(
            self.service.transact, job_creation_changes(self.job, 1_000_000)
        )
        self.tracked = self.table.add(self.job)

    @property
    def given_up(self):
        """Return how many items wait to be listed as errored."""
        return sum(
            self.committer.has_pending(self.job.job_id, stored.item_id)
            for stored in self.job.items
        )

    def commit(self):
        """Write what is queued."""
        if not self.committer.is_idle:
            trio.run(self.committer._commit_job, self.job.job_id)

    def startable(self, routes):
        """Return the items that may start."""
        return self.order.startable_items(
            routes,
            ['me'],
            lambda tracked, item_id: ItemProgress(
                tracked.job_id, tracked.items[item_id]
            ),
        )


def test_older_routes_do_not_end_a_job():
    """The entry accepted it under a version that is not known here yet."""
    setup = ExpirySetup()
    setup.expiry.check_if_due(WITHOUT_ROUTE[7])
    assert not setup.given_up
    assert not setup.startable(WITHOUT_ROUTE[7])
    setup.expiry.check_if_due(WITH_ROUTE[8])
    assert not setup.given_up
    assert len(setup.startable(WITH_ROUTE[8])) == ITEMS


@pytest.mark.parametrize('version', [8, 9])
def test_job_ends_with_its_route(version):
    setup = ExpirySetup()
    setup.expiry.check_if_due(WITHOUT_ROUTE[version])
    assert setup.given_up == ITEMS
    setup.commit()
    states = {one.state for one in setup.tracked.results}
    assert states == {ItemState.ERRORED}
    assert setup.tracked.is_finished


def test_job_without_a_version_ends_with_its_route():
    """An earlier release stored it."""
    setup = ExpirySetup()
    setup.tracked.job = attrs.evolve(setup.job, config_version=0)
    setup.expiry.check_if_due(WITHOUT_ROUTE[7])
    assert setup.given_up == ITEMS


def test_older_routes_do_not_tell_the_age_of_a_job():
    """A route of the same name may have allowed less time before."""
    setup = ExpirySetup()
    short = attrs.evolve(ROUTE, item_ttl_s=-100)
    setup.expiry.check_if_due(RouteTable(7, (short,)))
    assert not setup.given_up
    assert not setup.startable(RouteTable(7, (short,)))
    setup.expiry.check_if_due(RouteTable(8, (short,)))
    assert setup.given_up == ITEMS


def test_items_are_taken_back_if_newer_routes_allow_their_job():
    """The route was removed and added again before the results were written.

    Their progress is kept.
    """
    setup = ExpirySetup()
    progress = ItemProgress(setup.job.job_id, setup.job.items[0])
    progress.add_stream_bytes(b'id: 1\ndata: x\n\n')
    setup.local_items.suspended[progress.key] = progress
    setup.expiry.check_if_due(WITHOUT_ROUTE[8])
    assert setup.given_up == ITEMS
    setup.expiry.check_if_due(WITH_ROUTE[9])
    assert not setup.given_up
    assert setup.local_items.suspended[progress.key] is progress
    setup.commit()
    assert not setup.tracked.results


def test_only_results_of_items_that_were_given_up_are_taken_back():
    setup = ExpirySetup()
    whole = ItemProgress(setup.job.job_id, setup.job.items[0])
    whole.add_stream_bytes(b'id: 1\ndata: x\n\n')
    setup.committer.add(whole, ItemState.COMPLETED)
    impossible = ItemProgress(setup.job.job_id, setup.job.items[1])
    setup.committer.add(impossible, ItemState.ERRORED)
    setup.expiry.check_if_due(WITHOUT_ROUTE[8])
    setup.expiry.check_if_due(WITH_ROUTE[9])
    assert setup.given_up == 2
    setup.commit()
    assert [one.state for one in setup.tracked.results] == [
        ItemState.COMPLETED,
        ItemState.ERRORED,
    ]


def test_running_item_that_is_taken_back_is_not_suspended():
    setup = ExpirySetup()
    progress = ItemProgress(setup.job.job_id, setup.job.items[0])
    running = RunningItem(progress, ROUTE, 'i-1')
    setup.local_items.running[progress.key] = running
    setup.expiry.check_if_due(WITHOUT_ROUTE[8])
    setup.expiry.check_if_due(WITH_ROUTE[9])
    assert progress.key not in setup.local_items.suspended
    # its run may still complete it
    setup.committer.add(progress, ItemState.COMPLETED)
    setup.expiry.check_if_due(WITHOUT_ROUTE[8])
    assert progress not in setup.committer.withdraw(setup.job.job_id)


def test_renamed_route_goes_on_with_its_jobs():
    setup = ExpirySetup()
    setup.expiry.check_if_due(RouteTable(9, (MOVED_ROUTE,)))
    assert not setup.given_up
    assert len(setup.startable(RouteTable(9, (MOVED_ROUTE,)))) == ITEMS


def split_in_two():
    """Return an expiry setup whose last item has a path of its own."""
    setup = ExpirySetup(prefix='/')
    items = list(setup.job.items)
    items[-1] = attrs.evolve(items[-1], path='/last/x')
    setup.tracked.job = attrs.evolve(setup.job, items=tuple(items))
    setup.tracked.items[items[-1].item_id] = items[-1]
    return setup, items[-1].item_id


FIRST_ROUTE = attrs.evolve(ROUTE, name='first', prefix='/p/')
LAST_ROUTE = attrs.evolve(ROUTE, name='last', prefix='/last/')


def test_item_ends_with_its_own_route_alone():
    """Guards against sound items that are given up with one that is over."""
    setup, last = split_in_two()
    setup.expiry.check_if_due(RouteTable(9, (FIRST_ROUTE,)))
    assert setup.given_up == 1
    assert setup.committer.has_pending('j1', last)
    assert len(setup.startable(RouteTable(9, (FIRST_ROUTE,)))) == ITEMS - 1
    setup.expiry.check_if_due(RouteTable(10, (LAST_ROUTE,)))
    assert setup.given_up == ITEMS - 1
    assert not setup.committer.has_pending('j1', last)
    setup.expiry.check_if_due(RouteTable(11, (FIRST_ROUTE, LAST_ROUTE)))
    assert not setup.given_up


def test_each_item_is_kept_for_the_time_that_its_own_route_allows():
    setup, last = split_in_two()
    short = attrs.evolve(LAST_ROUTE, item_ttl_s=-100)
    setup.expiry.check_if_due(RouteTable(9, (FIRST_ROUTE, short)))
    assert setup.given_up == 1
    assert setup.committer.has_pending('j1', last)


def test_job_is_checked_at_intervals_by_the_same_routes():
    setup = ExpirySetup()
    setup.expiry.check_if_due(WITH_ROUTE[9])
    setup.tracked.job = attrs.evolve(setup.job, submitted_at=0)
    setup.expiry.check_if_due(WITH_ROUTE[9])
    assert not setup.given_up
    setup.expiry._checked_at = -1000
    setup.expiry.check_if_due(WITH_ROUTE[9])
    assert setup.given_up == ITEMS
