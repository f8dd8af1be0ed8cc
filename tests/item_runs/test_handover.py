"""Tests of handover of items between processes, and of their claims."""

import types

import attrs
import pytest
import trio

from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.state_transfer import StateTransfer
from briarrill.item_runs import handover as handover_module
from briarrill.item_runs.handover import (
    FETCH_TIMEOUT_S,
    HANDOVER_PATH,
    Handover,
)
from briarrill.item_runs.item import ItemProgress
from briarrill.protocol.load_reports import LoadReport, short_hash
from briarrill.protocol.stream_origins import StreamOrigin
from briarrill.state.rendezvous import rank_nodes
from briarrill.state.stored_jobs import ItemState
from briarrill.transport.http_callers import CallerLimits, serve_callers
from standins.platform_engine import encode_event
from tests.serving import free_port
from tests.state.test_stored_jobs import make_job

JOB = make_job()


def _make_progress(events=0):
    progress = ItemProgress(JOB.job_id, JOB.items[0])
    for number in range(1, events + 1):
        progress.add_stream_bytes(encode_event(number))
    return progress


def _make_report(name, host='127.0.0.1', **fields):
    return LoadReport(name, host, 1, 1, runs_batch=True, **fields)


def _make_handover(port=0, *reports):
    load = LoadExchange('me', '127.0.0.1', 0, (), lambda report: report)
    for report in reports:
        load.receive_report(report)
    return Handover('me', load, port, {})


def _assigned_and_other_peer():
    """Return a peer that is assigned the job, then one that is not."""
    assigned = next(
        name
        for name in map(str, range(50))
        if rank_nodes(JOB.job_id, ['me', name])[0] == name
    )
    other = next(
        name
        for name in map(str, range(50))
        if rank_nodes(JOB.job_id, ['me', name])[0] == 'me'
    )
    return assigned, other


async def test_suspended_item_is_handed_over_once_with_its_progress():
    port = free_port()
    source = _make_handover(port)
    progress = _make_progress(events=3)
    progress.failures = 1
    source.suspended[progress.key] = progress
    transfer = StateTransfer(
        {}, source.load, port, {HANDOVER_PATH: source.hand_over}
    )
    item_hash = short_hash(progress.stored.item_id)
    target = _make_handover(port, _make_report('giver', held=(item_hash,)))
    fetched, refetched = _make_progress(), _make_progress()
    async with serve_callers(
        ('127.0.0.1', port), transfer.caller_limits, transfer.serve
    ):
        assert await target.acquire(fetched)
        assert not await target.acquire(refetched)
    assert fetched.last_event_id == 3
    assert fetched.failures == 1
    fetched.add_stream_bytes(encode_event(4))
    assert fetched.result(ItemState.COMPLETED).output == (
        'word-1\nword-2\nword-3\nword-4'
    )
    assert source.was_handed_over(progress.key)
    assert source.suspended == {}


@pytest.mark.parametrize(
    'delay_s', [None, 2 * FETCH_TIMEOUT_S], ids=['lost', 'late']
)
async def test_item_whose_progress_does_not_arrive_begins_anew(
    autojump_clock, delay_s
):
    """The sender removes it as it replies, and starts the item nowhere."""
    port = free_port()
    source = _make_handover(port)
    progress = _make_progress(events=3)
    source.suspended[progress.key] = progress

    async def serve(conn):
        head = await conn.read_request_head()
        path = head.target.decode().removeprefix(HANDOVER_PATH)
        raw = source.hand_over(path)
        if delay_s is not None:
            await trio.sleep(delay_s)
            await conn.send_response(200, (), raw)

    item_hash = short_hash(progress.stored.item_id)
    giver, _ = _assigned_and_other_peer()
    target = _make_handover(port, _make_report(giver, held=(item_hash,)))
    fetched = _make_progress()
    async with serve_callers(('127.0.0.1', port), CallerLimits, serve):
        assert not await target.acquire(fetched)
    assert not fetched.has_progress
    assert source.suspended == {}
    assert source.was_handed_over(progress.key)
    # its next report does not name the item any more
    target.load.receive_report(attrs.evolve(_make_report(giver), sequence=2))
    assert await target.acquire(fetched)
    assert not fetched.has_progress


async def test_item_is_not_taken_with_a_malformed_record():
    """A peer of another version must not end this process."""
    port = free_port()
    transfer = StateTransfer(
        {}, _make_handover().load, port, {HANDOVER_PATH: lambda path: b'\xc1'}
    )
    item_hash = short_hash(JOB.items[0].item_id)
    target = _make_handover(port, _make_report('giver', held=(item_hash,)))
    fetched = _make_progress()
    async with serve_callers(
        ('127.0.0.1', port), transfer.caller_limits, transfer.serve
    ):
        assert not await target.acquire(fetched)
    assert fetched.last_event_id is None


@pytest.fixture
def clock(monkeypatch):
    """Set the time of the module under test."""
    fake = types.SimpleNamespace(now=100.0)
    fake.monotonic = lambda: fake.now
    monkeypatch.setattr(handover_module, 'time', fake)
    return fake


async def test_item_of_a_peer_that_cannot_be_reached_begins_anew(clock):
    """Its reports arrive, forwarded by another process."""
    giver, _ = _assigned_and_other_peer()
    item_hash = short_hash(JOB.items[0].item_id)
    report = _make_report(giver, held=(item_hash,))
    target = _make_handover(free_port(), report)
    for _ in range(3):
        assert not await target.acquire(_make_progress())
        clock.now += 0.4
    fetched = _make_progress()
    assert await target.acquire(fetched)
    assert not fetched.has_progress
    # a later failure is a new one
    clock.now += 10
    assert not await target.acquire(_make_progress())
    assert len(target._unfetched) == 1


def test_expired_handovers_are_removed(monkeypatch):
    now = 100.0
    monkeypatch.setattr(handover_module.time, 'monotonic', lambda: now)
    source = _make_handover()
    for number in range(5):
        key = ('j', str(number))
        source.suspended[key] = _make_progress(events=1)
        assert source.hand_over('/'.join(key)) is not None
        assert source.was_handed_over(key)
        now += handover_module.HANDOVER_TIMEOUT_S
    assert len(source._handed_over_at) == 1


async def test_item_of_assigned_job_starts_without_claim(autojump_clock):
    _, other = _assigned_and_other_peer()
    handover = _make_handover(0, _make_report(other))
    began = trio.current_time()
    assert await handover.acquire(_make_progress())
    assert trio.current_time() == began


async def test_item_of_other_job_starts_if_no_peer_claims_it(
    autojump_clock,
):
    assigned, _ = _assigned_and_other_peer()
    handover = _make_handover(0, _make_report(assigned))
    assert await handover.acquire(_make_progress())


async def test_item_claimed_by_assigned_peer_does_not_start(autojump_clock):
    assigned, _ = _assigned_and_other_peer()
    item_hash = short_hash(JOB.items[0].item_id)
    handover = _make_handover(0, _make_report(assigned, items=(item_hash,)))
    assert not await handover.acquire(_make_progress())


async def test_item_with_progress_starts_without_claim(autojump_clock):
    assigned, _ = _assigned_and_other_peer()
    item_hash = short_hash(JOB.items[0].item_id)
    handover = _make_handover(0, _make_report(assigned, items=(item_hash,)))
    assert await handover.acquire(_make_progress(events=1))


def test_begin_run_discards_incomplete_event():
    progress = _make_progress(events=2)
    progress.add_stream_bytes(encode_event(3)[:6])
    progress.begin_run(StreamOrigin(None))
    progress.add_stream_bytes(encode_event(3))
    output = progress.result(ItemState.COMPLETED).output
    assert output == 'word-1\nword-2\nword-3'
