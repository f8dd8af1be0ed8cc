"""Tests of what keeps items from starting, and of what refuses their runs."""

import math

import attrs
import pytest
import trio
from eliot import add_destinations, remove_destination

from briarrill.coordination.routes import RouteTable
from briarrill.item_runs.handover import Handover
from briarrill.item_runs.item import ItemProgress, RunEnd, RunningItem
from briarrill.item_runs.item_order import StartableItem
from briarrill.item_runs.wait_reasons import Refusal, WaitReason
from briarrill.protocol.load_reports import LoadReport, short_hash
from briarrill.protocol.prompt_news import PromptNews, UpstreamCrash
from briarrill.protocol.stream_origins import StreamOrigin
from briarrill.state.keys import ROOT_PREFIX
from briarrill.state.stored_jobs import ItemState
from standins.platform_engine import (
    StandinEngine,
    encode_event,
    reject_unexecuted,
)
from tests.item_runs.test_scheduler import (
    BATCH_ROUTE,
    UPSTREAM_SLOTS,
    SchedulerSetup,
)
from tests.serving import serve_standin
from tests.state.test_stored_jobs import make_job

UNREACHABLE = ('127.0.0.1', 1)
INCARNATION = 'i-1/1'


@pytest.fixture
def setup(monkeypatch):
    """A scheduler that may start items, without a running pass."""
    setup = SchedulerSetup(UNREACHABLE, monkeypatch)
    setup.upstream = attrs.evolve(setup.upstream, incarnation=INCARNATION)
    setup.slots.upstreams.register(setup.upstream)
    setup.slots._connected_at = -math.inf
    return setup


def _reasons(setup):
    """Return the reasons of all waiting items."""
    return [
        reason
        for waits in setup.scheduler.waits.find(setup.routes)
        for reason in waits.reasons.values()
    ]


def _report(**fields):
    return LoadReport(
        'a-peer',
        '127.0.0.2',
        1,
        1,
        runs_batch=True,
        connected=(ROOT_PREFIX,),
        **fields,
    )


def _suspend(setup, **fields):
    """Suspend the first item of a job after a run."""
    progress = ItemProgress('j1', make_job(count=1).items[0], **fields)
    setup.scheduler._suspended[progress.key] = progress
    return progress


def _add_output(progress, upstream):
    progress.begin_run(StreamOrigin(upstream.version, upstream.service))
    progress.add_stream_bytes(encode_event(1))


def _fill(setup, name):
    setup.load.in_flight.online[name] = UPSTREAM_SLOTS


def _begin_nothing(setup):
    """Leave everything as it is."""


def _lose_configuration(setup):
    setup.routes = None


def _isolate(setup):
    setup.scheduler.local_items.is_isolated = True


def _drain(setup):
    setup.scheduler.begin_drain()


def _reconnect(setup):
    setup.slots._connected_at = None


def _remove_route(setup):
    setup.routes = RouteTable(1, ())


def _assign_to_peer(setup):
    setup.slots.upstreams.register(
        attrs.evolve(setup.upstream, upstream_id='i-2')
    )
    setup.load.receive_report(_report())
    setup.scheduler._item_order.startable_items(
        setup.routes, setup.slots.processes(), lambda *_: None
    )


def _hand_over(setup):
    progress = _suspend(setup)
    setup.scheduler._handover.hand_over('/'.join(progress.key))


def _quarantine(setup):
    setup.quarantine.apply_news(
        PromptNews(quarantined={short_hash('bad'): 600})
    )


def _crash(setup, count):
    crashes = tuple(
        UpstreamCrash(number, other_parts=(short_hash('bad'),))
        for number in range(count)
    )
    setup.quarantine.apply_news(PromptNews(crashes=crashes))


def _suspect_part_in_flight(setup):
    _crash(setup, 2)
    setup.quarantine.runs._own[1, short_hash('bad')] = 1


def _suspect_part(setup):
    _crash(setup, 3)


def _delay(setup):
    _suspend(setup, next_run_at=math.inf)


def _unregister(setup):
    setup.slots.upstreams.unregister('i-1')


def _announce_departure(setup):
    setup.slots.upstreams.mark_leaving(INCARNATION)


def _leave_to_peer(setup):
    setup.load.receive_report(_report())


def _limit(setup):
    setup.load.limits.limits.record_response(INCARNATION, 0.5)


def _limit_and_block(setup):
    _limit(setup)
    setup.load.limits.limits.block(INCARNATION, 60)


def _suspect_upstream(setup):
    setup.load.silence.mark_suspect('i-1')


def _fill_all(setup):
    _fill(setup, 'i-1')


def _avoid(setup):
    setup.slots.upstreams.register(
        attrs.evolve(setup.upstream, upstream_id='i-2')
    )
    _fill(setup, 'i-2')
    _suspend(setup, avoided_upstream='i-1', avoided_until=math.inf)


def _lack_version(setup):
    setup.slots.upstreams.register(
        attrs.evolve(setup.upstream, upstream_id='i-2', version='v2')
    )
    _fill(setup, 'i-1')
    _add_output(_suspend(setup), setup.upstream)


def _queue_result(setup):
    progress = ItemProgress('j1', make_job(count=1).items[0])
    setup.committer.add(progress, ItemState.ERRORED)


def _block_results(setup):
    _queue_result(setup)
    setup.jobs.find('j1').mark_unreadable(0)


def _set_result_aside(setup):
    setup.committer._refused.add(('j1', make_job(count=1).items[0].item_id))


@pytest.mark.parametrize(
    ('cause', 'reason'),
    [
        (_begin_nothing, WaitReason.STARTABLE),
        (_lose_configuration, WaitReason.NO_CONFIGURATION),
        (_isolate, WaitReason.ISOLATED),
        (_drain, WaitReason.DRAINING),
        (_reconnect, WaitReason.AWAITS_REPORTS),
        (_remove_route, WaitReason.NO_ROUTE),
        (_assign_to_peer, WaitReason.OTHER_PROCESS),
        (_hand_over, WaitReason.HANDED_OVER),
        (_quarantine, WaitReason.PART_QUARANTINED),
        (_suspect_part, WaitReason.PART_AWAITS_DECISION),
        (_suspect_part_in_flight, WaitReason.STARTABLE),
        (_delay, WaitReason.DELAYED),
        (_unregister, WaitReason.NO_UPSTREAM),
        (_announce_departure, WaitReason.NONE_ACCEPTING),
        (_leave_to_peer, WaitReason.NONE_OWNED),
        (_limit, WaitReason.AT_LIMIT),
        (_limit_and_block, WaitReason.AT_LIMIT),
        (_suspect_upstream, WaitReason.SUSPECTED),
        (_fill_all, WaitReason.FULL),
        (_avoid, WaitReason.AVOIDS_UPSTREAM),
        (_lack_version, WaitReason.AWAITS_VERSION),
        (_queue_result, WaitReason.RESULT_UNWRITTEN),
        (_block_results, WaitReason.RESULT_BLOCKED),
        (_set_result_aside, WaitReason.RESULT_REFUSED),
    ],
)
async def test_reason_of_a_waiting_item(setup, cause, reason):
    await setup.submit(1, prompt='bad:5,own:1')
    cause(setup)
    assert _reasons(setup) == [reason]
    # an upstream with a limit may be asked for a permit
    may_start = reason is WaitReason.STARTABLE or cause is _limit
    assert await _starts_one(setup) == may_start


async def _starts_one(setup):
    """Return whether a scheduling pass starts an item."""
    scheduler = setup.scheduler
    if setup.routes is None or scheduler.waits.why_none_start() is not None:
        return False
    async with trio.open_nursery() as nursery:
        with setup.slots.searching():
            scheduler._start_items(setup.routes, nursery)
        has_started = bool(scheduler._running)
        nursery.cancel_scope.cancel()
    return has_started


async def test_job_of_newer_routes_waits_for_them(setup):
    await setup.submit(2, config_version=2)
    assert _reasons(setup) == [WaitReason.AWAITS_ROUTES] * 2


@pytest.mark.parametrize('refusal', list(Refusal))
async def test_item_is_delayed_by_the_refusal_of_its_last_run(setup, refusal):
    await setup.submit(1)
    _suspend(setup, next_run_at=math.inf, refusal=refusal)
    assert _reasons(setup) == [WaitReason.after_refusal(refusal)]


async def test_item_that_a_peer_lists_does_not_wait_here(setup):
    tracked = await setup.submit(2)
    item_hash = short_hash(next(iter(tracked.items)))
    setup.load.receive_report(_report(items=(item_hash,)))
    (waits,) = setup.scheduler.waits.find(setup.routes)
    assert len(waits.reasons) == 1
    assert waits.listed == {item_hash}


def _use_up_permits(setup):
    _limit(setup)
    for _ in range(3):
        setup.load.limits.book.ask(INCARNATION, 0.5, max_wait_s=0)


def _restart_upstream(setup):
    setup.slots.upstreams.register(
        attrs.evolve(setup.upstream, incarnation='i-1/2')
    )


def _change_version(setup):
    setup.upstream = attrs.evolve(setup.upstream, version='v2')
    setup.slots.upstreams.register(setup.upstream)


@pytest.mark.parametrize(
    ('cause', 'refusal'),
    [
        (_quarantine, Refusal.PART),
        (_use_up_permits, Refusal.PERMIT),
        (_restart_upstream, Refusal.REPLACED),
        (_change_version, Refusal.VERSION),
        (_begin_nothing, Refusal.UPSTREAM),
    ],
)
async def test_refused_run_tells_why(setup, cause, refusal):
    progress = await _run_after(setup, cause, reject_unexecuted())
    assert progress.refusal is refusal


async def test_run_at_an_unreachable_upstream_is_refused(setup):
    progress = ItemProgress('j1', make_job(count=1).items[0])
    end = await setup.scheduler._runner.run(
        progress, BATCH_ROUTE, 'h', setup.upstream
    )
    assert end is RunEnd.REFUSED
    assert progress.refusal is Refusal.CONNECTION


async def _run_after(setup, cause, behaviour):
    """Run an item with output after a cause to refuse it."""
    engine = StandinEngine(behaviour)
    async with serve_standin(engine) as address:
        setup.upstream = attrs.evolve(setup.upstream, address=address)
        setup.slots.upstreams.register(setup.upstream)
        stored = attrs.evolve(
            make_job(count=1).items[0],
            headers={'Briarrill-Prompt-Prefix': 'bad:5,own:1'},
        )
        progress = ItemProgress('j1', stored)
        _add_output(progress, setup.upstream)
        cause(setup)
        end = await setup.scheduler._runner.run(
            progress, BATCH_ROUTE, 'h', setup.upstream
        )
    assert end is RunEnd.REFUSED
    return progress


async def test_end_of_a_refused_run_names_the_refusal(setup, monkeypatch):
    """Here a preferred peer has the item."""
    tracked = await setup.submit(1, job_id='at-a-peer')
    progress = ItemProgress('at-a-peer', make_job(count=1).items[0])
    lines = []

    async def leave_to_peer(item):
        return False

    monkeypatch.setattr(Handover, 'acquire', lambda _, it: leave_to_peer(it))
    add_destinations(lines.append)
    try:
        await setup.scheduler._run_item(
            RunningItem(progress, BATCH_ROUTE, 'i-1'),
            StartableItem(progress, tracked, BATCH_ROUTE),
            setup.upstream,
        )
    finally:
        remove_destination(lines.append)
    ends = [
        (line['end'], line['refusal'])
        for line in lines
        if line['message_type'] == 'item:run-ended'
        and line['job'] == 'at-a-peer'
    ]
    assert ends == [('REFUSED', 'lease')]
    assert progress.refusal is Refusal.LEASE


def test_other_ends_forget_the_refusal():
    progress = ItemProgress('j1', make_job(count=1).items[0])
    progress.refusal = Refusal.PERMIT
    assert progress.keep_refusal(RunEnd.REFUSED) == 'permit'
    assert progress.keep_refusal(RunEnd.CUT) is None
    assert progress.refusal is None
