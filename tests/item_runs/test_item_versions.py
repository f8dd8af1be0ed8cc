"""Items whose runs meet upstreams of several software versions."""

import attrs
import msgspec
import pytest

from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.prompt_crashes import PromptQuarantine
from briarrill.coordination.routes import RouteKind
from briarrill.coordination.upstream_ends import UpstreamEnds
from briarrill.coordination.upstream_table import (
    RegisteredUpstream,
    UpstreamTable,
)
from briarrill.item_runs.item import ItemProgress, ProgressRecord, RunEnd
from briarrill.item_runs.item_runner import ItemRunner
from briarrill.item_runs.slots import FreeSlots
from briarrill.platform.relay_protocol import PlatformRelayProtocol
from briarrill.protocol.stream_origins import StreamOrigin
from briarrill.state.stored_jobs import StoredItem
from standins.platform_engine import StandinEngine, stream_events
from tests.relay.front_end_setup import route
from tests.serving import free_port, serve_standin

BATCH_ROUTE = route(RouteKind.BATCH)
ITEM = StoredItem('x1', '/p/x', {}, b'', 1)
EVENTS = 4
V1 = StreamOrigin('v1', 'llm')
V2 = StreamOrigin('v2', 'llm')
V3 = StreamOrigin('v3', 'llm')


@pytest.fixture
def load():
    return LoadExchange('me', '127.0.0.1', 0, (), lambda report: report)


@pytest.fixture
def upstreams():
    return UpstreamTable(lambda: True)


@pytest.fixture
def run(load, upstreams):
    """Return a function that runs an item at an upstream of a version."""
    ends = UpstreamEnds(upstreams, PromptQuarantine(), load.schedule_report)
    runner = ItemRunner(
        PlatformRelayProtocol(),
        load.silence,
        load.delays,
        upstreams,
        ends,
        load.limits,
    )

    async def run_at(progress, engine, version, start=7, service='llm'):
        host = ('127.0.0.1', free_port())
        async with serve_standin(engine, host) as address:
            upstream = RegisteredUpstream(
                'i-0',
                service,
                address,
                'a',
                4,
                incarnation=f'i-0/{start}',
                version=version,
            )
            upstreams.register(upstream)
            return await runner.run(progress, BATCH_ROUTE, 'h', upstream)

    return run_at


def _cutting(born=7):
    return StandinEngine(stream_events(EVENTS, cut_after=2), born=born)


def _whole(born=7):
    return StandinEngine(stream_events(EVENTS), born=born)


async def test_next_run_goes_on_at_the_same_version_only(run):
    progress = ItemProgress('j1', ITEM)
    assert await run(progress, _cutting(), 'v1') is RunEnd.CUT
    other = _whole()
    assert await run(progress, other, 'v2') is RunEnd.REFUSED
    assert not other.requests
    same = _whole()
    assert await run(progress, same, 'v1') is RunEnd.COMPLETED
    assert same.requests[0].header(b'last-event-id') == b'2'


async def test_next_run_goes_on_at_the_same_service_only(run):
    progress = ItemProgress('j1', ITEM)
    assert await run(progress, _cutting(), 'v1') is RunEnd.CUT
    raw = msgspec.msgpack.encode(progress.record())
    received = ItemProgress('j1', ITEM)
    received.load_record(msgspec.msgpack.decode(raw, type=ProgressRecord))
    for moved in (progress, received):
        other = _whole()
        assert await run(moved, other, 'v1', service='new') is RunEnd.REFUSED
        assert not other.requests
        assert await run(moved, _whole(), 'v1') is RunEnd.COMPLETED


async def test_item_that_was_handed_over_keeps_its_version(run):
    progress = ItemProgress('j1', ITEM)
    await run(progress, _cutting(), 'v1')
    raw = msgspec.msgpack.encode(progress.record())
    received = ItemProgress('j1', ITEM)
    received.load_record(msgspec.msgpack.decode(raw, type=ProgressRecord))
    assert received.origin == V1
    assert await run(received, _whole(), 'v2') is RunEnd.REFUSED
    assert await run(received, _whole(), 'v1') is RunEnd.COMPLETED


async def test_output_of_unknown_version_does_not_go_on(run):
    """Its upstream was started again, at whatever version."""
    progress = ItemProgress('j1', ITEM)
    assert await run(progress, _cutting(born=8), 'v1') is RunEnd.CUT
    assert progress.has_output
    assert progress.origin.version is None
    assert await run(progress, _whole(), 'v1') is RunEnd.REFUSED
    progress.restart()
    again = _whole()
    assert await run(progress, again, 'v2') is RunEnd.COMPLETED
    assert again.requests[0].header(b'last-event-id') is None


async def test_item_that_begins_anew_is_no_longer_whole(run):
    """Nothing was sent, and its empty output was taken for the whole one."""
    progress = ItemProgress('j1', ITEM)
    assert await run(progress, _whole(), 'v1') is RunEnd.COMPLETED
    progress.is_complete = True
    progress.restart()
    assert not progress.record().is_whole
    again = _whole()
    assert await run(progress, again, 'v2') is RunEnd.COMPLETED
    assert again.requests


async def test_item_does_not_go_on_where_another_process_took_an_id_over(run):
    progress = ItemProgress('j1', ITEM)
    await run(progress, _cutting(), 'v1')
    replaced = _whole(born=9)
    assert await run(progress, replaced, 'v1') is RunEnd.REFUSED
    assert not replaced.requests


def test_record_without_a_version_is_read_as_unknown():
    record = ProgressRecord(2, (b'a', b'b'), 0, 0.5)
    fields = attrs.asdict(record)
    fields.pop('version')
    raw = msgspec.msgpack.encode(fields)
    decoded = msgspec.msgpack.decode(raw, type=ProgressRecord)
    assert decoded.version is None


def test_slots_of_the_version_of_an_output_are_found(load, upstreams):
    slots = FreeSlots('me', upstreams, load, lambda: True)
    # nothing is owned yet, so the output waits
    assert slots.may_go_on(BATCH_ROUTE, V1)
    assert not slots.may_go_on(BATCH_ROUTE, StreamOrigin(None))
    for number, version in enumerate(('v1', 'v2')):
        upstreams.register(
            RegisteredUpstream(
                f'i-{number}',
                'llm',
                ('127.0.0.1', 1),
                'a',
                4,
                incarnation=f'i-{number}/7',
                version=version,
            )
        )
    assert slots.may_go_on(BATCH_ROUTE, V2)
    assert not slots.may_go_on(BATCH_ROUTE, V3)
    assert not slots.may_go_on(BATCH_ROUTE, StreamOrigin('v2', 'other'))
    found = slots.choose_upstream(BATCH_ROUTE, '', V2)
    assert found.version == 'v2'
    assert slots.choose_upstream(BATCH_ROUTE, '', V3) is None
    # a busy upstream of the version keeps the output
    slots.own_items['i-1'] = 4
    assert slots.choose_upstream(BATCH_ROUTE, '', V2) is None
    assert slots.may_go_on(BATCH_ROUTE, V2)
    upstreams.mark_replaced('i-1/7')
    assert not slots.may_go_on(BATCH_ROUTE, V2)
