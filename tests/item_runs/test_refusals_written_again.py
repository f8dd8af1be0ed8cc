"""Upstreams that write the earlier refusal of an item once more."""

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
from briarrill.transport.http_messages import BodyFraming
from tests.relay.front_end_setup import route
from tests.repeating_engine import (
    MARK,
    RepeatingEngine,
    When,
    answer_body,
    encode_message,
    id_line,
)
from tests.serving import serve_standin

BATCH_ROUTE = route(RouteKind.BATCH)
FRAMINGS = (BodyFraming.LENGTH, BodyFraming.CHUNKED)

# of a success it is a stream, of other responses any text
EARLIER_BODY = answer_body('earlier')

every_status = pytest.mark.parametrize(
    'status', [200, 400, 404, 408, 421, 422, 429, 500, 503]
)


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


async def _run_items(runner, network, engine, *item_ids):
    """Run items in turn; check those that are run after the refusal."""
    is_after = False
    async with serve_standin(engine, (f'{network}.1', 8080)) as address:
        upstream = RegisteredUpstream(
            'i-0', 'llm', address, 'a', 1, incarnation=f'i-{id(engine)}'
        )
        runner.upstreams.register(upstream)
        for item_id in item_ids:
            progress = ItemProgress('j', StoredItem(item_id, '/x', {}, b'', 1))
            end = await runner.run(
                progress, BATCH_ROUTE, 'h.example', upstream
            )
            if is_after:
                assert end in {RunEnd.COMPLETED, RunEnd.CUT}
            if is_after and end is RunEnd.COMPLETED:
                result = progress.result(ItemState.COMPLETED)
                assert result.output == item_id
            is_after = is_after or item_id == engine.refused_id
            if is_after:
                await engine.idle_copy_sent.wait()


async def _check(runner, network, status, lines):
    for when in When:
        for framing in FRAMINGS:
            refusal = encode_message(status, EARLIER_BODY, framing, lines)
            engine = RepeatingEngine('x1', refusal, when)
            await _run_items(runner, network, engine, 'x1', 'x2', 'x3')
            engine = RepeatingEngine('x2', refusal, when)
            await _run_items(runner, network, engine, 'x1', 'x2', 'x3')


@every_status
async def test_refusal_without_identifier_ends_no_other_run(
    runner, network, status
):
    for lines in ((), (MARK,)):
        await _check(runner, network, status, lines)


@every_status
@pytest.mark.parametrize('mark', [(), (MARK,)], ids=['unmarked', 'marked'])
async def test_refusal_with_identifier_ends_no_other_run(
    runner, network, status, mark
):
    for refused_id in ('x1', 'x2'):
        lines = (id_line(refused_id), *mark)
        for when in When:
            engine = RepeatingEngine(
                refused_id,
                encode_message(status, EARLIER_BODY, lines=lines),
                when,
            )
            await _run_items(runner, network, engine, 'x1', 'x2', 'x3')


@every_status
async def test_refusal_of_an_earlier_run_does_not_end_the_next(
    runner, network, status
):
    """Another item is run in between on the connection."""
    refusal = encode_message(status, EARLIER_BODY, lines=(id_line('x1'),))
    engine = RepeatingEngine('x1', refusal, copied_at='x1')
    await _run_items(runner, network, engine, 'x1', 'x2', 'x1')
