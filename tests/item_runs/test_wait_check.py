"""Tests of the line about items that wait beside free slots."""

import contextlib
import json
import math
import types

import attrs
import pytest
import trio
from eliot import add_destinations, remove_destination
from prometheus_client import REGISTRY

from briarrill.coordination.routes import RouteTable, Target
from briarrill.item_runs import wait_check as wait_check_module
from briarrill.item_runs.item import ItemProgress
from briarrill.item_runs.wait_check import (
    LINE_INTERVAL_S,
    MAX_EXAMPLES,
    MAX_LIMITS,
    MAX_PARTS,
    MAX_QUIET_S,
    WaitCheck,
)
from briarrill.protocol.load_reports import LoadReport, short_hash
from briarrill.protocol.prompt_news import PromptNews
from briarrill.state.keys import ROOT_PREFIX
from standins.platform_engine import (
    StandinEngine,
    respond_with,
    stream_events,
)
from tests.item_runs.test_scheduler import (
    BATCH_ROUTE,
    UPSTREAM_SLOTS,
    SchedulerSetup,
)
from tests.serving import serve_standin

# a line must stay far below the size of a log reader's buffer
MAX_LINE_BYTES = 4096


class CheckedSetup(SchedulerSetup):
    """A scheduler with a check of its items, on a clock of the test."""

    def __init__(self, address, monkeypatch):
        super().__init__(address, monkeypatch)
        self.slots._connected_at = -math.inf
        self.clock = types.SimpleNamespace(now=100.0)
        self.lines = []
        self.check = WaitCheck(
            self.scheduler.waits,
            lambda: self.routes,
            clock=lambda: self.clock.now,
        )

    def record(self, line):
        """Keep a line of the check."""
        if line['message_type'].startswith('items:waiting'):
            self.lines.append(line)

    async def check_for(self, duration_s):
        """Check once a second, with time for the scheduler in between."""
        for _ in range(int(duration_s)):
            self.check.check()
            self.clock.now += 1
            await trio.sleep(0.05)


@contextlib.contextmanager
def _recording(setup):
    add_destinations(setup.record)
    try:
        yield setup
    finally:
        remove_destination(setup.record)


@pytest.fixture
def setup(monkeypatch):
    """A scheduler that makes no passes."""
    with _recording(CheckedSetup(('127.0.0.1', 1), monkeypatch)) as setup:
        yield setup


@pytest.fixture
def run_scheduler(monkeypatch):
    @contextlib.asynccontextmanager
    async def start(*behaviours):
        engine = StandinEngine(*behaviours)
        async with (
            serve_standin(engine) as address,
            trio.open_nursery() as nursery,
        ):
            setup = CheckedSetup(address, monkeypatch)
            nursery.start_soon(setup.committer.run)
            nursery.start_soon(setup.scheduler.run, lambda: setup.routes)
            with trio.fail_after(20), _recording(setup):
                yield setup, engine
            nursery.cancel_scope.cancel()

    return start


def _gauge(reason):
    return REGISTRY.get_sample_value(
        'briarrill_waiting_items', {'reason': reason}
    )


def _quarantine(setup, part):
    setup.quarantine.apply_news(
        PromptNews(quarantined={short_hash(part): 600})
    )


def _leave_trials_to_others(setup):
    setup.scheduler._runner.trials._rank_for = lambda part: 100


async def test_items_of_a_quarantined_part_that_others_try_are_told(
    run_scheduler,
):
    """Sound items lay for 600 s, and no line told why."""
    async with run_scheduler(stream_events(2)) as (setup, engine):
        _quarantine(setup, 'bad')
        _leave_trials_to_others(setup)
        await setup.submit(3, prompt='bad:5,own:1')
        await setup.check_for(MAX_QUIET_S + 1)
        assert not engine.requests
    (line,) = setup.lines
    assert line['reasons'] == {'part-quarantined': 3}
    assert line['parts'] == [short_hash('bad')]
    assert line['oldest_s'] == MAX_QUIET_S
    assert line['own'] == {
        'upstreams': 1,
        'slots': UPSTREAM_SLOTS,
        'free': UPSTREAM_SLOTS,
    }
    assert line['others'] == {'upstreams': 0, 'slots': 0, 'free': 0}
    assert {example['job'] for example in line['examples']} == {'j1'}


async def test_items_at_a_limit_that_nothing_lifts_are_told(run_scheduler):
    """With half a request a second, 40 of 60 items never ran."""
    limit = ((b'server-limit', b'0.5'),)
    async with run_scheduler(respond_with(b'', 503, limit)) as (setup, engine):
        await setup.submit(20)
        while not engine.requests:
            await trio.sleep(0.01)
        await setup.check_for(MAX_QUIET_S + 3)
    line = setup.lines[0]
    assert line['limits'] == {'i-1': 0.5}
    assert line['limited'] == 1
    reasons = line['reasons']
    assert max(reasons, key=reasons.get) == 'at-limit'
    assert set(reasons) <= {'at-limit', 'refused-permit', 'delayed'}
    assert sum(reasons.values()) >= 20 - UPSTREAM_SLOTS


async def test_nothing_is_logged_while_upstreams_are_full(setup):
    await setup.submit(2)
    setup.load.in_flight.online['i-1'] = UPSTREAM_SLOTS
    await setup.check_for(3 * MAX_QUIET_S)
    assert not setup.lines
    assert _gauge('full') == 2


async def test_nothing_is_logged_while_items_run(run_scheduler):
    """One of them runs at a time, and has an event now and then."""
    stream = stream_events(10_000, pause_s=0.02)
    async with run_scheduler(stream) as (setup, engine):
        setup.slots.upstreams.register(
            attrs.evolve(setup.upstream, upstream_id='i-2', slots=20)
        )
        setup.load.silence.mark_suspect('i-2')
        await setup.submit(5)
        while not engine.requests:
            await trio.sleep(0.01)
        await setup.check_for(3 * MAX_QUIET_S)
        assert setup.scheduler._running
    assert not setup.lines


async def test_nothing_is_logged_while_items_run_at_peers(setup):
    tracked = await setup.submit(3)
    setup.scheduler.begin_drain()
    for sequence in range(1, int(3 * MAX_QUIET_S)):
        setup.load.receive_report(
            LoadReport(
                'other',
                '127.0.0.2',
                1,
                sequence,
                runs_batch=True,
                connected=(ROOT_PREFIX,),
                items=(short_hash(next(iter(tracked.items))),),
                batch={'i-1': 1},
            )
        )
        await setup.check_for(1)
    assert not setup.lines
    assert _gauge('draining') == 2


async def test_events_of_any_item_count_for_its_job(setup):
    tracked = await setup.submit(2)
    _quarantine(setup, 'own')
    stored = next(iter(tracked.items.values()))
    progress = ItemProgress('j1', stored)
    setup.scheduler._suspended[progress.key] = progress
    for number in range(1, int(3 * MAX_QUIET_S)):
        progress.add_stream_bytes(f'id: {number}\ndata: a\n\n'.encode())
        await setup.check_for(1)
    assert not setup.lines


async def test_line_is_repeated_at_intervals_until_the_end(setup):
    tracked = await setup.submit(2, prompt='bad:5,own:1')
    _quarantine(setup, 'bad')
    await setup.check_for(MAX_QUIET_S + 2 * LINE_INTERVAL_S + 1)
    assert [line['oldest_s'] for line in setup.lines] == [5, 10, 15]
    assert _gauge('part-quarantined') == 2
    tracked.mark_ended()
    await setup.check_for(2)
    assert setup.lines[3]['message_type'] == 'items:waiting-ended'
    assert setup.lines[3]['lasted_s'] == 11
    assert len(setup.lines) == 4
    assert _gauge('part-quarantined') == 0


async def test_line_stays_short_whatever_waits(setup):
    """Many jobs with long names, parts, limits and upstreams."""
    for number in range(40):
        name = f'i-{number}'
        setup.slots.upstreams.register(
            attrs.evolve(
                setup.upstream, upstream_id=name, incarnation=f'{name}/1'
            )
        )
        setup.load.limits.limits.record_response(f'{name}/1', 0.5)
        part = f'part-{number}'
        _quarantine(setup, part)
        await setup.submit(
            5, job_id=f'{number}'.zfill(200), prompt=f'{part}:5,own:1'
        )
    await setup.check_for(MAX_QUIET_S + 1)
    (line,) = setup.lines
    assert line['reasons'] == {'part-quarantined': 200}
    assert len(line['examples']) == MAX_EXAMPLES
    assert len(line['limits']) == MAX_LIMITS
    assert line['limited'] == 40
    assert len(line['parts']) == MAX_PARTS
    assert len(json.dumps(line)) <= MAX_LINE_BYTES


async def test_examples_have_different_reasons(setup):
    await setup.submit(9, prompt='bad:5,own:1')
    await setup.submit(1, job_id='j2')
    _quarantine(setup, 'bad')
    await setup.check_for(MAX_QUIET_S + 1)
    (line,) = setup.lines
    examples = [example['reason'] for example in line['examples']]
    assert set(examples) == {'part-quarantined', 'startable'}


async def test_job_of_unknown_routes_is_told_beside_idle_upstreams(setup):
    await setup.submit(1, config_version=9)
    await setup.check_for(MAX_QUIET_S + 1)
    (line,) = setup.lines
    assert line['reasons'] == {'awaits-routes': 1}


async def test_stalled_items_are_told_while_others_of_their_job_run(
    run_scheduler,
):
    """Guards against items without upstreams that no line tells of."""
    async with run_scheduler(stream_events(10_000, pause_s=0.02)) as (
        setup,
        _,
    ):
        other = attrs.evolve(BATCH_ROUTE, name='other', prefix='/other/')
        other = attrs.evolve(other, targets=(Target('other'),))
        setup.routes = RouteTable(2, (BATCH_ROUTE, other))
        setup.slots.upstreams.register(
            attrs.evolve(setup.upstream, upstream_id='i-2', service='other')
        )
        _quarantine(setup, 'bad')
        _leave_trials_to_others(setup)
        tracked = await setup.submit(2)
        first, second = tracked.job.items
        held = attrs.evolve(
            first,
            path='/other/x',
            headers={'Briarrill-Prompt-Prefix': 'bad:5,own:1'},
        )
        tracked.job = attrs.evolve(tracked.job, items=(held, second))
        tracked.items[held.item_id] = held
        await setup.check_for(MAX_QUIET_S + 1)
        (line,) = setup.lines
        assert line['reasons'] == {'part-quarantined': 1}
        assert line['examples'][0]['item'] == held.item_id


async def test_check_runs_at_intervals(setup, monkeypatch, autojump_clock):
    checks = []
    monkeypatch.setattr(
        WaitCheck, 'check', lambda _: checks.append(trio.current_time())
    )
    with trio.move_on_after(4.5):
        await setup.check.run()
    assert len(checks) == 4


async def test_long_checks_are_made_less_often(
    setup, monkeypatch, autojump_clock
):
    """Thousands of items with quarantined parts take a tenth of a second."""
    checks = []
    now = [0.0]

    def check(_):
        checks.append(trio.current_time())
        now[0] += 0.2

    clock = types.SimpleNamespace(monotonic=lambda: now[0])
    monkeypatch.setattr(wait_check_module, 'time', clock)
    monkeypatch.setattr(WaitCheck, 'check', check)
    with trio.move_on_after(10):
        await setup.check.run()
    assert len(checks) == 3
