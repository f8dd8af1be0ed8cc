"""Upstreams that answer the next run of an item with an error."""

import pytest

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
from standins.platform_engine import StandinEngine, stream_events
from tests.error_responses import NO_RESPONSES, SUCCESSES, error_statuses
from tests.raw_engine import RawEngine
from tests.relay.front_end_setup import route
from tests.serving import serve_standin

BATCH_ROUTE = route(RouteKind.BATCH)
BEGUN = 'word-1\nword-2'


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
    async with serve_standin(engine, (f'{network}.1', 8080)) as address:
        upstream = RegisteredUpstream('i-0', 'llm', address, 'a', 1)
        runner.upstreams.register(upstream)
        return await runner.run(progress, BATCH_ROUTE, 'h.example', upstream)


async def _check(runner, network, responses):
    for raw in responses:
        progress = ItemProgress('j1', StoredItem('x1', '/p/x', {}, b'', 1))
        broken = StandinEngine(stream_events(9, cut_after=2))
        assert await _run(runner, progress, broken, network) is RunEnd.CUT
        end = await _run(runner, progress, RawEngine(raw), network)
        assert end is not RunEnd.COMPLETED, raw
        assert progress.result(ItemState.COMPLETED).output == BEGUN, raw


@pytest.mark.parametrize('kind', SUCCESSES)
async def test_success_without_events_is_no_part_of_the_text(
    runner, network, kind
):
    await _check(runner, network, SUCCESSES[kind])


@pytest.mark.parametrize('number', range(10))
async def test_error_status_is_no_part_of_the_text(runner, network, number):
    await _check(runner, network, error_statuses()[number::10])


async def test_bytes_that_are_no_response_are_no_part_of_the_text(
    runner, network
):
    await _check(runner, network, NO_RESPONSES)
