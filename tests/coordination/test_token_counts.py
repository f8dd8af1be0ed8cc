"""Tests of the unfinished tokens that a process or a peer counts."""

import contextlib
import random

import attrs
import pytest

from briarrill.coordination.job_table import JobTable
from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.routes import RouteKind, RouteTable
from briarrill.coordination.state_transfer import StateTransfer
from briarrill.coordination.token_counts import (
    TOKEN_COUNTS_PATH,
    TokenCounts,
)
from briarrill.protocol.load_reports import LoadReport
from briarrill.state.keys import ROOT_PREFIX
from briarrill.transport.http_callers import serve_callers
from standins.memory_key_value import MemoryKeyValue
from tests.relay.front_end_setup import route
from tests.serving import free_port
from tests.state.test_stored_jobs import make_job

ROUTE = attrs.evolve(
    route(RouteKind.BATCH), host='lots & more:80', prefix='/%2F é/?/'
)
OTHER_ROUTE = attrs.evolve(ROUTE, prefix='/other/')
ROUTES = RouteTable(7, (ROUTE, OTHER_ROUTE))
JOB_TOKENS = 300


@attrs.define
class Process:
    """A process that counts tokens."""

    counts: TokenCounts
    has_all_jobs: bool = True
    reports: int = 0

    def add_job(self, job_id, customer=''):
        job = attrs.evolve(
            make_job(job_id),
            route=ROUTE.name,
            host=ROUTE.host,
            customer=customer,
            prefix=ROUTE.prefix,
        )
        self.counts.jobs.add(job)

    def hear(self, host, connected=(ROOT_PREFIX,)):
        """Record the report of a peer."""
        self.reports += 1
        report = LoadReport('peer', host, 1, self.reports, connected=connected)
        self.counts.load.receive_report(report)


def make_process(name, host, port):
    load = LoadExchange(name, host, 0, (), lambda report: report)
    process = Process(
        TokenCounts(
            JobTable(MemoryKeyValue()),
            lambda: process.has_all_jobs,
            load,
            port,
            random.Random(1),
            lambda: ROUTES,
        )
    )
    return process


@pytest.fixture
async def pair(network):
    """Return a process, and a peer of it that is served."""
    port = free_port()
    own = make_process('own', f'{network}.1', port)
    peer = make_process('peer', f'{network}.2', port)
    transfer = StateTransfer(
        {},
        peer.counts.load,
        port,
        resources={TOKEN_COUNTS_PATH: peer.counts.reply},
    )
    async with contextlib.AsyncExitStack() as stack:
        await stack.enter_async_context(
            serve_callers(
                (f'{network}.2', port), transfer.caller_limits, transfer.serve
            )
        )
        own.hear(f'{network}.2')
        yield own, peer


async def test_a_process_that_has_the_jobs_counts_its_own(pair):
    own, peer = pair
    own.add_job('j1')
    for job_id in ('j1', 'j2'):
        peer.add_job(job_id)
    assert await own.counts.count(ROUTE, ROUTES) == JOB_TOKENS
    assert await own.counts.count(OTHER_ROUTE, ROUTES) == 0


async def test_a_process_without_the_jobs_asks_a_peer_and_adds_its_own(pair):
    own, peer = pair
    own.has_all_jobs = False
    for job_id in ('j1', 'j2'):
        peer.add_job(job_id)
    assert await own.counts.count(ROUTE, ROUTES) == 2 * JOB_TOKENS
    own.add_job('j3')
    assert await own.counts.count(ROUTE, ROUTES) == 3 * JOB_TOKENS


@pytest.mark.parametrize('has_all_jobs', [True, False])
async def test_tokens_are_counted_for_each_customer(pair, has_all_jobs):
    own, peer = pair
    own.has_all_jobs = has_all_jobs
    counting = own if has_all_jobs else peer
    for number, customer in enumerate(('a/ü', 'a/ü', 'b', '')):
        counting.add_job(f'j{number}', customer)
    counted = [
        await own.counts.count(ROUTE, ROUTES, customer)
        for customer in ('a/ü', 'b', '', 'c', None)
    ]
    assert counted == [count * JOB_TOKENS for count in (2, 1, 1, 0, 4)]


async def test_nobody_counts_while_no_process_has_the_jobs(pair):
    own, peer = pair
    for process in (own, peer):
        process.has_all_jobs = False
    assert await own.counts.count(ROUTE, ROUTES) is None


async def test_a_peer_that_does_not_follow_the_service_is_not_asked(
    pair, network
):
    own, _ = pair
    own.has_all_jobs = False
    own.hear(f'{network}.2', connected=())
    assert await own.counts.count(ROUTE, ROUTES) is None


async def test_a_peer_that_ended_counts_as_one_that_does_not_know(network):
    own = make_process('own', f'{network}.1', free_port())
    own.has_all_jobs = False
    own.hear(f'{network}.3')
    assert await own.counts.count(ROUTE, ROUTES) is None
