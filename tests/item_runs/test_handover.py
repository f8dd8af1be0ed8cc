"""Items go on at other processes, and start at one of them only."""

import trio

from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.state_transfer import StateTransfer
from briarrill.item_runs import handover as handover_module
from briarrill.item_runs.handover import HANDOVER_PATH, Handover
from briarrill.item_runs.item import ItemProgress
from briarrill.protocol.load_reports import LoadReport, short_mark
from briarrill.state.rendezvous import rank
from briarrill.state.stored_jobs import ItemState
from briarrill.transport.http_callers import serve_callers
from standins.platform_engine import event
from tests.serving import free_port
from tests.state.test_stored_jobs import make_job

JOB = make_job()


def _progress(events=0):
    progress = ItemProgress(JOB.job_id, JOB.items[0])
    for number in range(1, events + 1):
        progress.take_part(event(number))
    return progress


def _report(name, host='127.0.0.1', **fields):
    return LoadReport(name, host, 1, 1, runs_batch=True, **fields)


def _handover(port=0, *reports):
    load = LoadExchange('me', '127.0.0.1', 0, (), lambda report: report)
    for report in reports:
        load.take_report(report)
    return Handover('me', load, port, {})


def _names():
    """Return this process as the job's own, then not."""
    home = next(
        name
        for name in map(str, range(50))
        if rank(JOB.job_id, ['me', name])[0] == name
    )
    other = next(
        name
        for name in map(str, range(50))
        if rank(JOB.job_id, ['me', name])[0] == 'me'
    )
    return home, other


async def test_item_goes_on_where_its_last_run_was_broken_off():
    port = free_port()
    giver = _handover(port)
    progress = _progress(events=3)
    progress.failures = 1
    giver.held[progress.key] = progress
    offered = StateTransfer({}, giver.load, port, {HANDOVER_PATH: giver.give})
    mark = short_mark(progress.stored.item_id)
    taker = _handover(port, _report('giver', held=(mark,)))
    taken, late = _progress(), _progress()
    async with serve_callers(
        ('127.0.0.1', port), offered.bounds, offered.serve
    ):
        assert await taker.take(taken)
        assert not await taker.take(late)
    assert taken.last_event_id == 3
    assert taken.failures == 1
    taken.take_part(event(4))
    assert taken.result(ItemState.COMPLETED).output == (
        'word-1\nword-2\nword-3\nword-4'
    )
    assert giver.was_given(progress.key)
    assert giver.held == {}


def test_items_that_were_given_are_forgotten(monkeypatch):
    now = 100.0
    monkeypatch.setattr(handover_module.time, 'monotonic', lambda: now)
    giver = _handover()
    for number in range(5):
        key = ('j', str(number))
        giver.held[key] = _progress(events=1)
        assert giver.give('/'.join(key)) is not None
        assert giver.was_given(key)
        now += handover_module.GIVEN_S
    assert len(giver._given_at) == 1


async def test_own_job_starts_without_a_claim(autojump_clock):
    _, other = _names()
    handover = _handover(0, _report(other))
    began = trio.current_time()
    assert await handover.take(_progress())
    assert trio.current_time() == began


async def test_job_of_another_starts_here_when_nobody_else_does(
    autojump_clock,
):
    home, _ = _names()
    handover = _handover(0, _report(home))
    assert await handover.take(_progress())


async def test_item_that_its_own_process_starts_is_left(autojump_clock):
    home, _ = _names()
    mark = short_mark(JOB.items[0].item_id)
    handover = _handover(0, _report(home, items=(mark,)))
    assert not await handover.take(_progress())


async def test_item_with_progress_needs_no_claim(autojump_clock):
    home, _ = _names()
    mark = short_mark(JOB.items[0].item_id)
    handover = _handover(0, _report(home, items=(mark,)))
    assert await handover.take(_progress(events=1))


def test_half_an_event_is_forgotten_with_its_run():
    progress = _progress(events=2)
    progress.take_part(event(3)[:6])
    progress.begin_run()
    progress.take_part(event(3))
    output = progress.result(ItemState.COMPLETED).output
    assert output == 'word-1\nword-2\nword-3'
