"""Tests of the scheduler: start, preemption, resumption and expiry."""

import contextlib

import attrs
import pytest
import trio

from briarrill.coordination.batch_shares import is_preferred_runner
from briarrill.coordination.job_table import JobTable
from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.prompt_crashes import PromptQuarantine
from briarrill.coordination.routes import RouteKind, RouteTable
from briarrill.coordination.upstream_ends import UpstreamEnds
from briarrill.coordination.upstream_table import (
    RegisteredUpstream,
    UpstreamTable,
)
from briarrill.item_runs import item_order as item_order_module
from briarrill.item_runs import scheduler as scheduler_module
from briarrill.item_runs import slots as slots_module
from briarrill.item_runs.handover import Handover
from briarrill.item_runs.item import ItemProgress, RunEnd
from briarrill.item_runs.item_runner import ItemRunner
from briarrill.item_runs.result_commits import Committer
from briarrill.item_runs.scheduler import Scheduler
from briarrill.item_runs.slots import FreeSlots
from briarrill.platform.relay_protocol import PlatformRelayProtocol
from briarrill.protocol.load_reports import LoadReport, short_hash
from briarrill.protocol.prompt_news import PromptNews, UpstreamCrash
from briarrill.protocol.stream_origins import StreamOrigin
from briarrill.state.keys import ROOT_PREFIX
from briarrill.state.stored_jobs import ItemState, job_creation_changes
from briarrill.transport import http_channel
from standins.memory_key_value import MemoryKeyValue
from standins.platform_engine import (
    StandinEngine,
    encode_event,
    reject_unexecuted,
    respond_with,
    stream_events,
)
from tests.relay.front_end_setup import route
from tests.serving import serve_standin
from tests.state.test_stored_jobs import make_job

BATCH_ROUTE = route(
    RouteKind.BATCH, max_attempts=2, completion_objective_s=18, item_ttl_s=60
)
NOW_UNIX_S = 1_000_000.0
UPSTREAM_SLOTS = 4


class SchedulerSetup:
    """A scheduler with its collaborators and one upstream."""

    def __init__(self, address, monkeypatch):
        monkeypatch.setattr(scheduler_module.time, 'time', lambda: NOW_UNIX_S)
        self.service = MemoryKeyValue()
        self.jobs = JobTable(self.service)
        self.load = LoadExchange(
            'me', '127.0.0.1', 0, (), lambda report: report
        )
        upstreams = UpstreamTable(lambda: True)
        self.upstream = RegisteredUpstream(
            'i-1', 'llm', address, 'a', UPSTREAM_SLOTS
        )
        upstreams.register(self.upstream)
        self.is_connected = True
        self.quarantine = PromptQuarantine()
        self.slots = FreeSlots(
            'me', upstreams, self.load, lambda: self.is_connected
        )
        self.committer = Committer(self.service, self.jobs)
        self.scheduler = Scheduler(
            self.jobs,
            self.slots,
            Handover('me', self.load, 0, {}),
            ItemRunner(
                PlatformRelayProtocol(),
                self.load.silence,
                self.load.delays,
                upstreams,
                UpstreamEnds(
                    upstreams, self.quarantine, self.load.schedule_report
                ),
                self.load.limits,
            ),
            self.committer,
        )
        self.routes = RouteTable(1, (BATCH_ROUTE,))

    async def submit(self, count, **fields):
        """Store a job on the batch route."""
        job = make_job(
            fields.pop('job_id', 'j1'),
            count,
            submitted_at=fields.pop('at', NOW_UNIX_S),
        )
        headers = {'Briarrill-Prompt-Prefix': fields.pop('prompt', 'own:1')}
        job = attrs.evolve(
            job,
            route=BATCH_ROUTE.name,
            host=BATCH_ROUTE.host,
            config_version=fields.pop('config_version', 0),
            items=tuple(
                attrs.evolve(stored, headers=headers) for stored in job.items
            ),
        )
        await self.service.transact(job_creation_changes(job, 1_000_000))
        return self.jobs.add(job)

    def report_online(self, online):
        """Report online requests of another process at the upstream."""
        self._sequence = getattr(self, '_sequence', 0) + 1
        report = LoadReport(
            'entry',
            '127.0.0.2',
            1,
            self._sequence,
            online={'i-1': online},
        )
        self.load.receive_report(report)
        self.scheduler.wake_on_report(report)


@pytest.fixture
def run_scheduler(monkeypatch):
    @contextlib.asynccontextmanager
    async def start(*behaviours):
        engine = StandinEngine(*behaviours)
        async with (
            serve_standin(engine) as address,
            trio.open_nursery() as nursery,
        ):
            setup = SchedulerSetup(address, monkeypatch)
            nursery.start_soon(setup.committer.run)
            nursery.start_soon(setup.scheduler.run, lambda: setup.routes)
            with trio.fail_after(20):
                yield setup, engine
            nursery.cancel_scope.cancel()

    return start


async def _wait_until(condition):
    while not condition():
        await trio.sleep(0.01)


async def test_draining_process_leaves_its_upstreams_to_others(run_scheduler):
    """Guards against items that wait beside the free slots of its share."""
    async with run_scheduler(stream_events(1)) as (setup, _):
        setup.load.complete_report = lambda report: (
            setup.scheduler.local_items.complete_report(
                attrs.evolve(report, runs_batch=True, connected=(ROOT_PREFIX,))
            )
        )
        peer_load = LoadExchange(
            'other', '127.0.0.2', 0, (), lambda report: report
        )
        peer = FreeSlots(
            'other', setup.slots.upstreams, peer_load, lambda: True
        )
        peer_load.receive_report(setup.load.make_report())
        assert sorted(peer.processes()) == ['me', 'other']
        setup.scheduler.begin_drain()
        peer_load.receive_report(setup.load.make_report())
        assert peer.processes() == ['other']


async def test_frequent_wakes_are_limited_by_pass_interval(
    monkeypatch, autojump_clock
):
    """400 reports a second arrive while hundreds of items wait.

    A scheduling pass for each of them would leave no time for requests.
    """
    setup = SchedulerSetup(('127.0.0.1', 1), monkeypatch)
    pass_times = []
    monkeypatch.setattr(
        setup.scheduler,
        '_make_pass',
        lambda *_: pass_times.append(trio.current_time()),
    )
    async with trio.open_nursery() as nursery:
        nursery.start_soon(setup.scheduler.run, lambda: setup.routes)
        for _ in range(400):
            setup.scheduler.wake()
            await trio.sleep(1 / 400)
        nursery.cancel_scope.cancel()
    assert 40 <= len(pass_times) <= 51


async def test_long_passes_leave_half_of_the_time_to_runs(
    monkeypatch, autojump_clock
):
    """Guards against passes over thousands of items that starve the runs."""
    pass_s = 0.25
    setup = SchedulerSetup(('127.0.0.1', 1), monkeypatch)
    monkeypatch.setattr(
        setup.scheduler, '_make_pass', lambda *_: autojump_clock.jump(pass_s)
    )
    began_at = trio.current_time()
    free_s = 0.0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(setup.scheduler.run, lambda: setup.routes)
        while trio.current_time() - began_at < 10:
            setup.scheduler.wake()
            before = trio.current_time()
            await trio.sleep(0.01)
            if trio.current_time() - before < pass_s:
                free_s += 0.01
        nursery.cancel_scope.cancel()
    assert free_s >= 0.45 * (trio.current_time() - began_at)


async def test_waiting_items_are_not_searched_while_all_slots_are_used(
    monkeypatch,
):
    """Guards against a search through thousands of items for nothing."""
    setup = SchedulerSetup(('127.0.0.1', 1), monkeypatch)
    setup.slots._connected_at = float('-inf')
    searches = []
    monkeypatch.setattr(
        'briarrill.item_runs.item_order.ItemOrder.startable_items',
        lambda *arguments: searches.append(arguments) or [],
    )
    await setup.submit(3)
    async with trio.open_nursery() as nursery:
        setup.load.in_flight.online['i-1'] = UPSTREAM_SLOTS
        setup.scheduler._make_pass(setup.routes, nursery, False)
        assert not searches
        setup.load.in_flight.online['i-1'] = 0
        setup.scheduler._make_pass(setup.routes, nursery, False)
        assert len(searches) == 1


async def test_submitted_items_complete_and_are_committed(run_scheduler):
    async with run_scheduler(stream_events(5)) as (setup, engine):
        tracked = await setup.submit(6)
        await _wait_until(lambda: not tracked.is_open)
    assert len(engine.requests) == 6
    assert {stored.state for stored in tracked.results} == {
        ItemState.COMPLETED
    }


async def test_online_peak_preempts_items_and_they_resume(run_scheduler):
    """Items occupy all slots when a peak of online requests arrives."""
    async with run_scheduler(stream_events(60, pause_s=0.02)) as (
        setup,
        engine,
    ):
        tracked = await setup.submit(UPSTREAM_SLOTS)
        await _wait_until(lambda: len(engine.requests) >= UPSTREAM_SLOTS - 1)
        await trio.sleep(0.3)
        setup.report_online(UPSTREAM_SLOTS)
        await _wait_until(lambda: not setup.scheduler._running)
        requests_before = len(engine.requests)
        await trio.sleep(0.2)
        assert len(engine.requests) == requests_before
        setup.report_online(0)
        await _wait_until(lambda: not tracked.is_open)
    resumed = [req for req in engine.requests if req.header(b'last-event-id')]
    assert len(resumed) >= UPSTREAM_SLOTS - 1
    words = '\n'.join(f'word-{number}' for number in range(1, 61))
    assert {stored.output for stored in tracked.results} == {words}


async def test_preemption_counts_items_of_other_processes(run_scheduler):
    """Items of two processes and online requests exceed the slots."""
    async with run_scheduler(stream_events(10_000, pause_s=0.02)) as (
        setup,
        engine,
    ):
        await setup.submit(UPSTREAM_SLOTS - 1)
        await _wait_until(lambda: len(engine.requests) == UPSTREAM_SLOTS - 1)
        setup.load.receive_report(
            LoadReport(
                'other',
                '127.0.0.3',
                1,
                1,
                runs_batch=True,
                connected=(ROOT_PREFIX,),
                batch={'i-1': 2},
            )
        )
        setup.scheduler.wake()
        await _wait_until(lambda: engine.disconnects == 1)
        setup.report_online(1)
        await _wait_until(lambda: engine.disconnects == 2)
        await trio.sleep(0.2)
        assert engine.disconnects == 2


async def test_items_yield_memory_that_online_requests_need(run_scheduler):
    """Slots are left, but the memory is not."""
    async with run_scheduler(stream_events(10_000, pause_s=0.02)) as (
        setup,
        engine,
    ):
        unknown = setup.load.knowledge.capacity_of('llm')
        capacity = attrs.evolve(unknown, slots=UPSTREAM_SLOTS, tokens=10_000)
        setup.load.knowledge.capacities = lambda: {'llm': capacity}
        tracked = await setup.submit(2)
        tokens = sum(item.tokens for item in tracked.items.values())
        await _wait_until(lambda: len(engine.requests) == 2)
        report = LoadReport('entry', '127.0.0.2', 1, 1, online={'i-1': 1})
        held = {'i-1': 10_001 - tokens}
        setup.load.receive_report(attrs.evolve(report, tokens=held))
        setup.scheduler.wake()
        await _wait_until(lambda: engine.disconnects == 1)
        await trio.sleep(0.2)
        assert engine.disconnects == 1


async def test_items_too_large_for_memory_do_not_hold_up_others(
    run_scheduler,
):
    """Both wait for memory that online requests hold, and run after them."""
    async with run_scheduler(stream_events(3)) as (setup, engine):
        unknown = setup.load.knowledge.capacity_of('llm')
        capacity = attrs.evolve(unknown, slots=UPSTREAM_SLOTS, tokens=10_000)
        setup.load.knowledge.capacities = lambda: {'llm': capacity}
        report = LoadReport('entry', '127.0.0.2', 1, 1, online={'i-1': 1})
        report = attrs.evolve(report, tokens={'i-1': 5000})
        setup.load.receive_report(report)
        job = make_job('j1', 3, submitted_at=NOW_UNIX_S)
        sizes = (10_001, 6000, 100)
        items = tuple(
            attrs.evolve(stored, tokens=tokens)
            for stored, tokens in zip(job.items, sizes, strict=True)
        )
        job = attrs.evolve(
            job,
            route=BATCH_ROUTE.name,
            host=BATCH_ROUTE.host,
            items=items,
        )
        await setup.service.transact(job_creation_changes(job, 1_000_000))
        tracked = setup.jobs.add(job)
        await _wait_until(lambda: len(tracked.results) == 1)
        await trio.sleep(0.2)
        assert len(engine.requests) == 1
        assert [one.item_id for one in tracked.results] == [items[2].item_id]
        report = attrs.evolve(report, sequence=2, online={}, tokens={})
        setup.load.receive_report(report)
        await _wait_until(lambda: not tracked.is_open)
    assert {one.state for one in tracked.results} == {ItemState.COMPLETED}
    assert len(engine.requests) == 3


async def test_items_use_only_slots_free_of_online_requests(run_scheduler):
    async with run_scheduler(stream_events(20, pause_s=0.02)) as (
        setup,
        engine,
    ):
        setup.report_online(UPSTREAM_SLOTS - 2)
        tracked = await setup.submit(6)
        max_running = 0
        while tracked.is_open:
            max_running = max(max_running, len(setup.scheduler._running))
            setup.report_online(UPSTREAM_SLOTS - 2)
            await trio.sleep(0.02)
    assert 0 < max_running <= 2


async def test_silence_of_a_second_does_not_run_an_item_again(run_scheduler):
    async def pause(req, conn):
        await conn.send_head(200, ())
        await conn.send_body(encode_event(1))
        await trio.sleep(1.5)
        await conn.send_body(encode_event(2))
        await conn.send_end()

    async with run_scheduler(pause) as (setup, engine):
        tracked = await setup.submit(1)
        await _wait_until(lambda: not tracked.is_open)
        assert len(engine.requests) == 1


async def test_ended_job_cancels_running_items(run_scheduler):
    async with run_scheduler(stream_events(10_000, pause_s=0.02)) as (
        setup,
        engine,
    ):
        tracked = await setup.submit(2)
        await _wait_until(lambda: len(engine.requests) == 2)
        tracked.mark_ended()
        await _wait_until(lambda: engine.disconnects == 2)
        await trio.sleep(0.2)
    assert len(engine.requests) == 2


@pytest.mark.parametrize(
    ('behaviour', 'request_count'),
    [(respond_with(b'', 422), 1), (respond_with(b'', 500), 2)],
)
async def test_failing_item_is_committed_as_errored(
    run_scheduler, behaviour, request_count
):
    async with run_scheduler(behaviour) as (setup, engine):
        tracked = await setup.submit(1)
        await _wait_until(lambda: not tracked.is_open)
    assert len(engine.requests) == request_count
    assert tracked.results[0].state is ItemState.ERRORED
    assert tracked.results[0].output == ''


async def test_rejected_and_cut_runs_do_not_count_as_failures(run_scheduler):
    behaviours = (
        reject_unexecuted(),
        stream_events(5, cut_after=2),
        reject_unexecuted(429),
        stream_events(5),
    )
    async with run_scheduler(*behaviours) as (setup, engine):
        tracked = await setup.submit(1)
        await _wait_until(lambda: not tracked.is_open)
    assert tracked.results[0].state is ItemState.COMPLETED
    assert tracked.results[0].output.count('word') == 5
    assert engine.requests[-1].header(b'last-event-id') == b'2'


async def test_item_within_clock_skew_of_expiry_stays_open(run_scheduler):
    async with run_scheduler(reject_unexecuted()) as (setup, engine):
        tracked = await setup.submit(1, at=NOW_UNIX_S - BATCH_ROUTE.item_ttl_s)
        await _wait_until(lambda: engine.requests)
        await trio.sleep(0.2)
        assert tracked.is_open
        assert setup.committer.is_idle


async def test_job_waits_for_the_routes_that_it_was_accepted_under(
    run_scheduler,
):
    """Older ones do not have its route, and its items were given up."""
    async with run_scheduler(stream_events(3)) as (setup, engine):
        setup.routes = RouteTable(7, ())
        tracked = await setup.submit(2, config_version=8)
        await trio.sleep(2)
        assert not tracked.results
        setup.routes = RouteTable(8, (BATCH_ROUTE,))
        await _wait_until(lambda: tracked.is_finished)
        states = {one.state for one in tracked.results}
    assert states == {ItemState.COMPLETED}


async def test_expired_item_is_committed_as_errored(run_scheduler):
    async with run_scheduler(reject_unexecuted()) as (setup, _):
        at = (
            NOW_UNIX_S
            - BATCH_ROUTE.item_ttl_s
            - item_order_module.MAX_CLOCK_SKEW_S
            - 1
        )
        tracked = await setup.submit(1, at=at)
        await _wait_until(lambda: not tracked.is_open)
    assert tracked.results[0].state is ItemState.ERRORED


async def test_item_run_by_two_processes_continues_at_preferred_one(
    run_scheduler,
):
    """Two processes that started at the same time run the same items."""
    async with run_scheduler(stream_events(10_000, pause_s=0.02)) as (
        setup,
        engine,
    ):
        tracked = await setup.submit(UPSTREAM_SLOTS - 1)
        await _wait_until(lambda: len(engine.requests) == UPSTREAM_SLOTS - 1)
        names = ['me', 'other']
        item_hashes = [short_hash(item_id) for item_id in tracked.items]
        setup.load.receive_report(
            LoadReport(
                'other',
                '127.0.0.2',
                1,
                1,
                runs_batch=True,
                connected=(ROOT_PREFIX,),
                items=tuple(item_hashes),
            )
        )
        setup.scheduler.wake()
        own_item_hashes = [
            short_hash(item_id)
            for item_id in tracked.items
            if is_preferred_runner(
                'me', ['other'], names, tracked.job_id, item_id
            )
        ]
        await _wait_until(
            lambda: (
                engine.disconnects == len(item_hashes) - len(own_item_hashes)
            )
        )
        await trio.sleep(0.2)
        assert sorted(setup.scheduler.local_items.active_hashes) == sorted(
            own_item_hashes
        )


async def test_running_item_is_not_preempted_by_claim(run_scheduler):
    """A peer that only claims a running item does not preempt it."""
    async with run_scheduler(stream_events(10_000, pause_s=0.02)) as (
        setup,
        engine,
    ):
        tracked = await setup.submit(UPSTREAM_SLOTS - 1)
        await _wait_until(lambda: len(engine.requests) == UPSTREAM_SLOTS - 1)
        item_hashes = tuple(short_hash(item_id) for item_id in tracked.items)
        setup.load.receive_report(
            LoadReport(
                'other',
                '127.0.0.2',
                1,
                1,
                runs_batch=True,
                items=item_hashes,
                claims=item_hashes,
            )
        )
        setup.scheduler.wake()
        await trio.sleep(0.2)
        assert not engine.disconnects
        assert len(setup.scheduler.local_items.active_hashes) == len(
            item_hashes
        )


async def test_items_wait_for_peer_reports_after_connection(
    run_scheduler, monkeypatch
):
    """A process that has just connected does not know its peers' items."""
    monkeypatch.setattr(slots_module, 'PEER_REPORT_WAIT_S', 60)
    async with run_scheduler(stream_events(5)) as (setup, engine):
        await setup.submit(2)
        await trio.sleep(0.3)
        assert not engine.requests
        monkeypatch.setattr(slots_module, 'PEER_REPORT_WAIT_S', 0)
        await _wait_until(lambda: len(engine.requests) == 2)


async def test_items_wait_longer_for_registered_peers_without_report(
    run_scheduler, monkeypatch
):
    """After a power loss peers are registered before their first report."""
    monkeypatch.setattr(slots_module, 'SILENT_PEER_WAIT_S', 60)
    async with run_scheduler(stream_events(5)) as (setup, engine):
        setup.load.update_member('other', '127.0.0.2')
        await setup.submit(2)
        await trio.sleep(0.3)
        assert not engine.requests
        setup.load.receive_report(
            LoadReport('other', '127.0.0.2', 1, 1, runs_batch=True)
        )
        await _wait_until(lambda: len(engine.requests) == 2)


async def test_isolated_process_suspends_its_items(run_scheduler):
    async with run_scheduler(stream_events(10_000, pause_s=0.02)) as (
        setup,
        engine,
    ):
        await setup.submit(2)
        await _wait_until(lambda: len(engine.requests) == 2)
        setup.is_connected = False
        setup.load.receive_report(
            LoadReport(
                'other',
                '127.0.0.2',
                1,
                1,
                runs_batch=True,
                connected=(ROOT_PREFIX,),
            )
        )
        await _wait_until(lambda: engine.disconnects == 2)
        assert len(setup.scheduler.local_items.suspended_hashes) == 2
        assert setup.slots.processes() == ['other']


async def test_items_run_during_service_outage_of_all_processes(run_scheduler):
    async with run_scheduler(stream_events(5)) as (setup, engine):
        tracked = await setup.submit(2)
        setup.service.is_down = True
        setup.is_connected = False
        await _wait_until(lambda: len(engine.requests) == 2)
        await trio.sleep(0.5)
        assert tracked.results == []
        setup.service.is_down = False
        await _wait_until(lambda: not tracked.is_open)
    assert len(engine.requests) == 2


async def test_unexpected_status_is_retried_at_most_once_a_second(
    run_scheduler,
):
    """Such a status counts as no attempt, so no limit ends the retries."""
    async with run_scheduler(respond_with(b'', 404)) as (setup, engine):
        await setup.submit(1)
        await _wait_until(lambda: engine.requests)
        await trio.sleep(0.5)
        assert len(engine.requests) == 1
        await _wait_until(lambda: len(engine.requests) > 1)


@pytest.mark.parametrize('avoided', ['', 'i-2'])
async def test_pass_looks_for_slots_only_until_all_are_taken(
    run_scheduler, monkeypatch, avoided
):
    """Hundreds of items wait for the few slots of the own upstreams."""
    searches = []
    choose_upstream = FreeSlots.choose_upstream

    def count_search(slots, route, *args, **options):
        searches.append(route)
        return choose_upstream(slots, route, *args, **options)

    monkeypatch.setattr(FreeSlots, 'choose_upstream', count_search)
    async with run_scheduler(stream_events(1000, pause_s=0.02)) as (
        setup,
        engine,
    ):
        for item in make_job(count=200).items:
            progress = ItemProgress('j1', item, avoided_upstream=avoided)
            setup.scheduler._suspended[progress.key] = progress
        await setup.submit(200)
        await _wait_until(lambda: len(engine.requests) >= UPSTREAM_SLOTS - 1)
        setup.scheduler.wake()
        await trio.sleep(0.3)
    assert len(searches) <= UPSTREAM_SLOTS + 1


def _quarantine(setup, part):
    """Quarantine a part, as three upstreams that ended with it cause."""
    setup.quarantine.apply_news(
        PromptNews(quarantined={short_hash(part): 600})
    )


async def test_item_with_a_quarantined_prompt_waits_until_it_is_answered(
    run_scheduler,
):
    async with run_scheduler(stream_events(2)) as (setup, engine):
        _quarantine(setup, 'bad')
        held = await setup.submit(1, prompt='first:5,bad:5,own:1')
        other = await setup.submit(
            1, job_id='j2', prompt='first:5,sound:5,own:1'
        )
        await _wait_until(lambda: not other.is_open)
        await trio.sleep(0.3)
        assert held.is_open
        assert len(engine.requests) == 1
        setup.quarantine.record_answer(('bad',))
        await _wait_until(lambda: not held.is_open)
    assert held.results[0].state is ItemState.COMPLETED


@pytest.mark.parametrize('in_flight', ['bad', 'worse'])
async def test_items_with_a_suspected_part_run_beside_suspected_requests(
    run_scheduler, in_flight
):
    """Guards against items that wait for as long as such requests come."""
    async with run_scheduler(stream_events(2)) as (setup, engine):
        suspects = (short_hash('bad'), short_hash('worse'))
        setup.quarantine.apply_news(
            PromptNews(
                crashes=tuple(
                    UpstreamCrash(number, other_parts=suspects)
                    for number in range(2)
                )
            )
        )
        upstream = short_hash(setup.upstream.incarnation)
        with setup.quarantine.runs.counted(upstream, short_hash(in_flight)):
            tracked = await setup.submit(2, prompt='first:5,bad:5,own:1')
            await _wait_until(lambda: not tracked.is_open)
    assert len(engine.requests) == 2
    assert {one.state for one in tracked.results} == {ItemState.COMPLETED}


async def test_sound_items_that_upstreams_ended_under_are_run(run_scheduler):
    """Guards against items that lie, since no answer was known in time."""
    respond = stream_events(150, pause_s=0.01)
    async with run_scheduler(respond) as (setup, engine):
        _quarantine(setup, 'first')
        tracked = await setup.submit(6, prompt='first:5,own:1')
        with trio.fail_after(10):
            await _wait_until(lambda: not tracked.is_open)
    assert {one.state for one in tracked.results} == {ItemState.COMPLETED}
    assert len(engine.requests) == 6


async def test_items_with_a_quarantined_part_run_though_trials_are_lost(
    run_scheduler, monkeypatch
):
    """Upstreams go on ending for another reason after the quarantine."""
    monkeypatch.setattr(
        'briarrill.coordination.quarantine_trials.TRIAL_PAUSE_S', 0.2
    )
    cuts = [stream_events(150, cut_after=1)] * 6
    respond = stream_events(150, pause_s=0.01)
    async with run_scheduler(*cuts, respond) as (setup, engine):
        _quarantine(setup, 'first')
        tracked = await setup.submit(3, prompt='first:5,own:1')
        with trio.fail_after(15):
            await _wait_until(lambda: not tracked.is_open)
    assert {one.state for one in tracked.results} == {ItemState.COMPLETED}
    assert len(engine.requests) == 3 + len(cuts)


async def test_items_are_tried_though_the_first_process_for_them_has_no_room(
    run_scheduler,
):
    """It owns no upstream of their route, and starts nothing."""
    async with (
        run_scheduler(stream_events(150, pause_s=0.01)) as (setup, _),
        trio.open_nursery() as nursery,
    ):

        async def report():
            for sequence in range(1, 100):
                setup.load.receive_report(_report_other(sequence=sequence))
                await trio.sleep(0.2)

        nursery.start_soon(report)
        await _wait_until(lambda: len(setup.slots.processes()) == 2)
        part = next(
            name
            for name in map(str, range(100))
            if setup.slots.rank_for(short_hash(name)) == 1
        )
        setup.scheduler._runner.trials._rank_for = setup.slots.rank_for
        _quarantine(setup, part)
        tracked = await setup.submit(3, prompt=f'{part}:5,own:1')
        with trio.fail_after(10):
            await _wait_until(lambda: not tracked.is_open)
        nursery.cancel_scope.cancel()


async def test_upstreams_that_end_under_items_accuse_no_prompt(
    run_scheduler,
):
    """Guards against items that wait because their own upstreams ended."""
    async with (
        run_scheduler(stream_events(10_000, pause_s=0.02)) as (setup, engine),
        trio.open_nursery() as nursery,
    ):
        ends = setup.scheduler._runner.ends
        nursery.start_soon(ends.run)
        await setup.submit(1, prompt='first:5,second:5,own:1')
        for start in range(1, 4):
            while len(engine.requests) < start:
                await trio.sleep(0.01)
            # another process took the address, so that the last one ended
            setup.slots.upstreams.register(
                attrs.evolve(setup.upstream, incarnation=f'i-1/{start}')
            )
            while ends._runs:
                await trio.sleep(0.01)
            assert not setup.quarantine.is_active
            setup.scheduler.preempt_all()
        nursery.cancel_scope.cancel()


async def test_item_with_a_quarantined_prompt_expires_with_its_job(
    run_scheduler,
):
    async with run_scheduler(stream_events(2)) as (setup, engine):
        _quarantine(setup, 'bad')
        tracked = await setup.submit(
            1, prompt='bad:5,own:1', at=NOW_UNIX_S - 1000
        )
        await _wait_until(lambda: not tracked.is_open)
        assert not engine.requests
    assert tracked.results[0].state is ItemState.ERRORED


async def test_item_is_held_back_between_its_claim_and_its_run(run_scheduler):
    async with run_scheduler(stream_events(2)) as (setup, engine):
        _quarantine(setup, 'bad')
        job = make_job(count=1)
        stored = attrs.evolve(
            job.items[0], headers={'Briarrill-Prompt-Prefix': 'bad:5,own:1'}
        )
        end = await setup.scheduler._runner.run(
            ItemProgress('j1', stored), BATCH_ROUTE, 'h', setup.upstream
        )
        assert end is RunEnd.REFUSED
        assert not engine.requests


async def test_item_that_was_handed_over_here_is_held_back_too(run_scheduler):
    """It has progress from its run at another process."""
    async with run_scheduler(stream_events(5)) as (setup, engine):
        _quarantine(setup, 'bad')
        job = make_job(count=1)
        stored = attrs.evolve(
            job.items[0], headers={'Briarrill-Prompt-Prefix': 'bad:5,own:1'}
        )
        progress = ItemProgress('j1', stored)
        progress.begin_run(
            StreamOrigin(setup.upstream.version, setup.upstream.service)
        )
        progress.add_stream_bytes(encode_event(1))
        setup.scheduler._suspended[progress.key] = progress
        tracked = await setup.submit(1, prompt='bad:5,own:1')
        await trio.sleep(0.4)
        assert not engine.requests
        setup.quarantine.record_answer(('bad',))
        await _wait_until(lambda: not tracked.is_open)
        assert engine.requests[0].header(b'last-event-id') == b'1'


@pytest.mark.parametrize('has_progress', [False, True])
async def test_upstream_that_leaves_during_the_connection_gets_no_item(
    run_scheduler, monkeypatch, has_progress
):
    """Neither a new item nor one that was handed over."""
    async with run_scheduler(stream_events(5)) as (setup, engine):
        upstreams = setup.scheduler._runner.upstreams
        connect = http_channel.connect

        async def connect_as_it_leaves(address, timeout_s):
            upstreams.register(attrs.evolve(setup.upstream, is_draining=True))
            return await connect(address, timeout_s)

        monkeypatch.setattr(http_channel, 'connect', connect_as_it_leaves)
        progress = ItemProgress('j1', make_job(count=1).items[0])
        if has_progress:
            progress.begin_run(
                StreamOrigin(setup.upstream.version, setup.upstream.service)
            )
            progress.add_stream_bytes(encode_event(1))
        end = await setup.scheduler._runner.run(
            progress, BATCH_ROUTE, 'h', setup.upstream
        )
        assert end is RunEnd.REFUSED
        assert progress.has_progress == has_progress
        assert not engine.requests


async def test_items_run_once_a_low_limit_has_ended(run_scheduler):
    """Guards against items that wait for a response that no request gets."""
    low = respond_with(b'', 503, ((b'server-limit', b'0.5'),))
    behaviours = [low] * UPSTREAM_SLOTS + [stream_events(2)]
    async with run_scheduler(*behaviours) as (setup, _):
        tracked = await setup.submit(6)
        await _wait_until(lambda: not tracked.is_open)
    assert {one.state for one in tracked.results} == {ItemState.COMPLETED}


async def test_items_do_not_pass_a_limit(run_scheduler):
    """Of many items that would fit, few start while online requests wait."""
    limit = ((b'server-limit', b'2.5'),)
    async with run_scheduler(respond_with(b'', 503, limit)) as (setup, engine):
        await setup.submit(10)
        await _wait_until(lambda: engine.requests)
        before = len(engine.requests)
        await trio.sleep(1.0)
    assert before <= UPSTREAM_SLOTS
    # what the limit allows in the time, and what it lets follow at once
    assert len(engine.requests) - before <= 2.5 + 3


async def test_item_that_avoids_an_upstream_runs_there_while_others_are_full(
    run_scheduler,
):
    """It neither waits for ever nor holds up the items behind it."""
    cut = stream_events(5, cut_after=2)
    async with run_scheduler(cut, stream_events(5)) as (setup, engine):
        other = attrs.evolve(setup.upstream, upstream_id='i-2')
        setup.slots.upstreams.register(other)
        setup.load.in_flight.online['i-2'] = UPSTREAM_SLOTS
        first = await setup.submit(1)
        await _wait_until(lambda: engine.requests)
        behind = await setup.submit(3, job_id='j2')
        with trio.fail_after(5):
            await _wait_until(lambda: not (first.is_open or behind.is_open))


def _suspend_with_output(setup):
    """Suspend an item at the version of the first upstream."""
    progress = ItemProgress('j1', make_job(count=1).items[0])
    progress.begin_run(
        StreamOrigin(setup.upstream.version, setup.upstream.service)
    )
    progress.add_stream_bytes(encode_event(1))
    setup.scheduler._suspended[progress.key] = progress
    return progress


async def test_output_is_kept_if_its_version_has_room_after_a_wait(
    run_scheduler,
):
    """While everything is full, no other version is a reason to begin anew."""
    async with run_scheduler(stream_events(5)) as (setup, engine):
        setup.slots.upstreams.register(
            attrs.evolve(
                setup.upstream,
                upstream_id='i-2',
                version='v2',
                slots=2 * UPSTREAM_SLOTS,
            )
        )
        progress = _suspend_with_output(setup)
        progress.waits_since = float('-inf')
        tracked = await setup.submit(1)
        with trio.fail_after(5):
            await _wait_until(lambda: not tracked.is_open)
        assert engine.requests[0].header(b'last-event-id') == b'1'


async def test_output_is_given_up_while_its_version_stays_full(run_scheduler):
    """Upstreams of another version have room, so the item begins anew."""
    async with run_scheduler(stream_events(5)) as (setup, engine):
        setup.slots.upstreams.register(
            attrs.evolve(setup.upstream, upstream_id='i-2', version='v2')
        )
        setup.load.in_flight.online['i-1'] = UPSTREAM_SLOTS
        _suspend_with_output(setup)
        tracked = await setup.submit(1)
        await trio.sleep(0.5)
        assert not engine.requests
        with trio.fail_after(5):
            await _wait_until(lambda: not tracked.is_open)
        assert engine.requests[0].header(b'last-event-id') is None


async def test_output_is_given_up_while_its_version_refuses_it(run_scheduler):
    async with run_scheduler(reject_unexecuted()) as (setup, engine):
        other = StandinEngine(stream_events(5))
        async with serve_standin(other) as address:
            setup.slots.upstreams.register(
                attrs.evolve(
                    setup.upstream,
                    upstream_id='i-2',
                    address=address,
                    version='v2',
                )
            )
            _suspend_with_output(setup)
            tracked = await setup.submit(1)
            with trio.fail_after(5):
                await _wait_until(lambda: not tracked.is_open)
        assert engine.requests
        assert other.requests[0].header(b'last-event-id') is None


def _suspend_whole_output(setup, version):
    """Suspend a completed item whose result is not written."""
    progress = _suspend_with_output(setup)
    progress.origin = StreamOrigin(version, setup.upstream.service)
    progress.is_complete = True
    return progress


@pytest.mark.parametrize('version', [None, 'left'])
async def test_whole_output_is_listed_though_its_version_is_gone(
    run_scheduler, version
):
    """It was listed as completed with an empty text."""
    async with run_scheduler(stream_events(5)) as (setup, engine):
        progress = _suspend_whole_output(setup, version)
        output = progress.result(ItemState.COMPLETED).output
        tracked = await setup.submit(1)
        await _wait_until(lambda: not tracked.is_open)
        assert tracked.results[0].state is ItemState.COMPLETED
        assert tracked.results[0].output == output
        assert not engine.requests


async def test_whole_output_needs_no_upstream_with_room(run_scheduler):
    """After a wait, another version had room and the text was discarded."""
    async with run_scheduler(stream_events(5)) as (setup, engine):
        setup.slots.upstreams.register(
            attrs.evolve(setup.upstream, upstream_id='i-2', version='v2')
        )
        setup.load.in_flight.online['i-1'] = UPSTREAM_SLOTS
        progress = _suspend_whole_output(setup, setup.upstream.version)
        progress.waits_since = float('-inf')
        output = progress.result(ItemState.COMPLETED).output
        tracked = await setup.submit(1)
        await _wait_until(lambda: not tracked.is_open)
        assert tracked.results[0].output == output
        assert not engine.requests


async def test_output_that_an_isolated_process_took_back_is_listed_in_full(
    run_scheduler,
):
    """The upstream that wrote it was started again meanwhile."""
    async with run_scheduler(stream_events(5)) as (setup, engine):
        tracked = await setup.submit(1)
        setup.service.is_down = True
        await _wait_until(lambda: not setup.committer.is_idle)
        setup.is_connected = False
        setup.load.receive_report(_report_other())
        await _wait_until(lambda: setup.scheduler._suspended)
        setup.slots.upstreams.mark_replaced(setup.upstream.incarnation)
        setup.service.is_down = False
        setup.is_connected = True
        await _wait_until(lambda: not tracked.is_open)
        assert len(engine.requests) == 1
        assert len(tracked.results[0].output.split('\n')) == 5


def _report_other(**fields):
    """Return the report of a batch process that can commit results."""
    return LoadReport(
        'other',
        '127.0.0.2',
        1,
        fields.pop('sequence', 1),
        runs_batch=True,
        connected=(ROOT_PREFIX,),
        **fields,
    )


async def test_isolated_process_leaves_its_uncommitted_items_to_peers(
    run_scheduler,
):
    """It cannot list those that it has given up, and another one can."""
    async with run_scheduler(respond_with(b'', 422)) as (setup, engine):
        tracked = await setup.submit(1)
        setup.service.is_down = True
        local_items = setup.scheduler.local_items
        await _wait_until(lambda: not setup.committer.is_idle)
        assert local_items.active_hashes
        setup.is_connected = False
        setup.load.receive_report(_report_other())
        await _wait_until(lambda: not local_items.active_hashes)
        setup.service.is_down = False
        setup.is_connected = True
        await _wait_until(lambda: not tracked.is_open)
    assert len(engine.requests) == 1
    assert tracked.results[0].state is ItemState.ERRORED


async def test_item_runs_though_a_peer_goes_on_suspecting_all_upstreams(
    run_scheduler,
):
    """Its link to them may be cut, or its callers may have stopped reading."""
    async with (
        run_scheduler(stream_events(5)) as (setup, _),
        trio.open_nursery() as nursery,
    ):

        async def report():
            for sequence in range(1, 100):
                setup.load.receive_report(
                    _report_other(sequence=sequence, suspects=('i-1',))
                )
                await trio.sleep(0.2)

        nursery.start_soon(report)
        tracked = await setup.submit(1)
        with trio.fail_after(6):
            await _wait_until(lambda: not tracked.is_open)
        nursery.cancel_scope.cancel()
