"""Runs of items whose streams are cut at every byte, in every framing."""

import types

import pytest

from briarrill.coordination.customers.customer import Customer
from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.prompt_crashes import PromptQuarantine
from briarrill.coordination.routes import RouteKind
from briarrill.coordination.upstream_ends import UpstreamEnds
from briarrill.coordination.upstream_table import (
    RegisteredUpstream,
    UpstreamTable,
)
from briarrill.item_runs.item import ItemProgress, RunEnd
from briarrill.item_runs.item_runner import ItemRunner
from briarrill.platform.relay_protocol import PlatformRelayProtocol
from briarrill.state.stored_jobs import ItemState, StoredItem
from briarrill.transport.http_callers import CallerLimits
from briarrill.transport.http_messages import BodyFraming
from standins.platform_engine import (
    StandinEngine,
    encode_event,
    stream_events,
)
from tests.early_engine import EarlyEngine, Ending
from tests.raw_engine import (
    RawEngine,
    cut_at_every_byte,
    encode_response,
    every_end,
)
from tests.relay.front_end_setup import route
from tests.serving import serve_standin

EVENTS = (encode_event(1), encode_event(2), encode_event(3))
WHOLE_RESPONSE = encode_response(EVENTS, BodyFraming.LENGTH)
OUTPUT = 'word-1\nword-2\nword-3'
BATCH_ROUTE = route(RouteKind.BATCH)


@pytest.fixture
def runner():
    load = LoadExchange('me', '127.0.0.1', 0, (), lambda report: report)
    upstreams = UpstreamTable(lambda: True)
    ends = UpstreamEnds(upstreams, PromptQuarantine(), load.schedule_report)
    return ItemRunner(
        PlatformRelayProtocol(),
        load.silence,
        load.delays,
        upstreams,
        ends,
        load.limits,
    )


async def _run(runner, progress, engine, network):
    """Run an item at an upstream; return how the run ended."""
    async with serve_standin(engine, (f'{network}.1', 8080)) as address:
        upstream = RegisteredUpstream('i-0', 'llm', address, 'a', 1)
        runner.upstreams.register(upstream)
        return await runner.run(progress, BATCH_ROUTE, 'h.example', upstream)


async def test_upstream_of_an_item_learns_the_customer_of_its_job(
    runner, network
):
    engine = StandinEngine(stream_events(3))
    async with serve_standin(engine, (f'{network}.1', 8080)) as address:
        upstream = RegisteredUpstream('i-0', 'llm', address, 'a', 1)
        runner.upstreams.register(upstream)
        progress = ItemProgress('j1', StoredItem('x1', '/p/x', {}, b'', 1))
        await runner.run(
            progress, BATCH_ROUTE, 'h.example', upstream, Customer('north')
        )
    assert [req.customers for req in engine.requests] == [[b'north']]


def _output(progress):
    return progress.result(ItemState.COMPLETED).output


@every_end
async def test_cut_run_never_completes_an_item(
    runner, network, framing, reset
):
    for cut in cut_at_every_byte(EVENTS, framing, reset):
        progress = ItemProgress('j1', StoredItem('x1', '/p/x', {}, b'', 1))
        end = await _run(runner, progress, cut.engine(), network)
        if cut.is_complete:
            assert (end, _output(progress)) == (RunEnd.COMPLETED, OUTPUT), cut
        elif end is RunEnd.COMPLETED:
            assert cut.may_look_like_complete_stream, cut
        else:
            assert end is RunEnd.CUT, cut
            await _run(
                runner, progress, StandinEngine(stream_events(3)), network
            )
            assert _output(progress) == OUTPUT, cut


@pytest.mark.parametrize('reset', [False, True])
@pytest.mark.parametrize(
    ('status', 'header', 'expected_end'),
    [
        (422, b'', RunEnd.IMPOSSIBLE),
        (500, b'', RunEnd.FAILED),
        (503, b'briarrill-not-executed: 1\r\n', RunEnd.REFUSED),
    ],
)
async def test_error_counts_also_if_its_body_is_cut(
    runner, network, status, header, expected_end, reset
):
    head = b'HTTP/1.1 %d Error\r\ncontent-length: 4\r\n%b\r\n'
    progress = ItemProgress('j1', StoredItem('x1', '/p/x', {}, b'', 1))
    engine = RawEngine(head % (status, header), reset)
    assert await _run(runner, progress, engine, network) is expected_end


async def test_late_second_response_is_not_that_of_the_next_run(
    runner, network
):
    """Both runs have the item's identifier, so the response does not tell."""
    progress = ItemProgress('j1', StoredItem('x1', '/p/x', {}, b'', 1))
    connections = []

    async def serve(conn):
        connections.append(conn)
        is_first = len(connections) == 1
        while (head := await conn.read_request_head()) is not None:
            await conn.read_body(head)
            if is_first:
                await conn.send_response(
                    500, ((b'briarrill-attempt-id', b'x1'),), b'x'
                )
            else:
                await conn._send(WHOLE_RESPONSE)
                return

    engine = types.SimpleNamespace(serve=serve, caller_limits=CallerLimits)
    async with serve_standin(engine, (f'{network}.1', 8080)) as address:
        upstream = RegisteredUpstream('i-0', 'llm', address, 'a', 1)
        runner.upstreams.register(upstream)
        ends = [
            await runner.run(progress, BATCH_ROUTE, 'h.example', upstream)
            for _ in range(2)
        ]
    assert ends == [RunEnd.FAILED, RunEnd.COMPLETED]
    assert _output(progress) == OUTPUT


# guards against a part of an output that is listed as the whole one
@pytest.mark.parametrize('ending', list(Ending))
async def test_stream_that_ends_before_its_item_was_taken_is_cut(
    runner, network, ending
):
    stored = StoredItem('x1', '/p/x', {}, b'x' * 400_000, 1)
    raw = encode_response(EVENTS[:1], BodyFraming.CLOSE)
    progress = ItemProgress('j1', stored)
    engine = EarlyEngine(raw, ending)
    end = await _run(runner, progress, engine, network)
    assert end is RunEnd.CUT
    assert not progress.is_complete


@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
async def test_run_with_an_invalid_status_is_cut(runner, network, status):
    raw = WHOLE_RESPONSE.replace(b'200', status, 1)
    progress = ItemProgress('j1', StoredItem('x1', '/p/x', {}, b'', 1))
    end = await _run(runner, progress, RawEngine(raw), network)
    assert end is RunEnd.CUT
    assert not progress.failures
