"""Tests of unfinished tokens at an entry whose table of jobs is old."""

import random

import attrs
import pytest

from briarrill.coordination import token_counts
from briarrill.coordination.routes import RouteKind, RouteTable
from briarrill.coordination.token_counts import TOKEN_COUNTS_PATH
from briarrill.state.keys import ROOT_PREFIX
from briarrill.state.stored_jobs import job_creation_changes
from briarrill.transport.key_value import WatchEvent
from tests.platform.test_process_parts import two_processes
from tests.relay.front_end_setup import route
from tests.state.test_stored_jobs import make_job

ROUTE = attrs.evolve(route(RouteKind.BATCH), host='host')
ROUTES = RouteTable(7, (ROUTE,))
JOB_TOKENS = 300

FIRST_REVISION = 5


class CountingProcess:
    """A process that counts tokens and hears a peer."""

    def __init__(self, parts):
        self.parts = parts
        self.mirror = parts.mirrors[ROOT_PREFIX]
        self.counts = parts.make_job_table()
        self.counts.rng = random.Random(1)
        self.counts.routes = lambda: self.routes
        self.routes = ROUTES
        self.mirror._advance_to(FIRST_REVISION)

    def receive_job(self, job_id, revision):
        job = attrs.evolve(make_job(job_id), route=ROUTE.name)
        for change in job_creation_changes(job, 1_000_000):
            self.mirror._apply_event(
                WatchEvent(change.key, change.body, revision)
            )
        self.mirror._advance_to(revision)

    def store_job(self, job_id):
        """Add a job as after a write through a peer."""
        self.counts.jobs.add(attrs.evolve(make_job(job_id), route=ROUTE.name))

    def cut_watch(self):
        self.mirror._mark_disconnected('rejected')


@pytest.fixture
async def pair(clock, monkeypatch):
    """Return an entry and a peer that it asks."""
    async with two_processes(clock) as (entry, batch):
        own, peer = CountingProcess(entry.parts), CountingProcess(batch.parts)

        def hear():
            entry.hear(batch)

        async def request_from_peer(address, path):
            name = path.removeprefix(TOKEN_COUNTS_PATH)
            return peer.parts.resources[TOKEN_COUNTS_PATH](name)

        monkeypatch.setattr(
            token_counts, 'request_from_peer', request_from_peer
        )
        own.hear = hear
        yield own, peer


async def test_tokens_of_jobs_that_a_cut_watch_misses_are_counted(pair, clock):
    own, peer = pair
    own.cut_watch()
    clock.now += 2
    peer.receive_job('j1', 6)
    own.hear()
    assert await own.counts.count(ROUTE, ROUTES) == JOB_TOKENS


async def test_tokens_of_jobs_that_a_silent_watch_misses_are_counted(
    pair, clock
):
    """The watch seems to work; only the report of the peer tells."""
    own, peer = pair
    peer.receive_job('j1', 6)
    own.hear()
    clock.now += 2
    own.hear()
    assert await own.counts.count(ROUTE, ROUTES) == JOB_TOKENS


async def test_known_jobs_are_not_counted_twice(pair, clock):
    own, peer = pair
    for process in pair:
        process.receive_job('j1', 6)
    own.cut_watch()
    clock.now += 2
    own.store_job('j2')
    own.hear()
    assert await own.counts.count(ROUTE, ROUTES) == 2 * JOB_TOKENS
    peer.receive_job('j2', 7)
    clock.now += 2
    own.hear()
    assert await own.counts.count(ROUTE, ROUTES) == 2 * JOB_TOKENS


async def test_tokens_are_not_known_while_all_watches_are_cut(pair, clock):
    own, peer = pair
    own.hear()
    own.cut_watch()
    peer.cut_watch()
    clock.now += 2
    own.hear()
    assert await own.counts.count(ROUTE, ROUTES) is None
    own.mirror._advance_to(FIRST_REVISION)
    assert await own.counts.count(ROUTE, ROUTES) == 0


async def test_watches_that_are_continued_soon_leave_the_count_known(
    pair, clock
):
    own, peer = pair
    for process in pair:
        process.receive_job('j1', 6)
        process.cut_watch()
    clock.now += 0.5
    assert await own.counts.count(ROUTE, ROUTES) == JOB_TOKENS


@pytest.mark.parametrize(
    'other',
    [None, RouteTable(6, (ROUTE,)), RouteTable(7, ())],
    ids=['no routes', 'another version', 'without the route'],
)
async def test_peer_with_other_routes_does_not_count(pair, clock, other):
    """Guards against counts of items that have other routes there."""
    own, peer = pair
    own.cut_watch()
    clock.now += 2
    peer.receive_job('j1', 6)
    peer.routes = other
    own.hear()
    assert await own.counts.count(ROUTE, ROUTES) is None
    peer.routes = RouteTable(7, (ROUTE,))
    assert await own.counts.count(ROUTE, ROUTES) == JOB_TOKENS
