"""Upstreams that send bytes without end to the runs of items."""

import attrs
import pytest
import trio

from briarrill.item_runs import item as item_module
from briarrill.item_runs import item_runner
from briarrill.item_runs.item import ItemProgress, RunEnd
from briarrill.state.stored_jobs import StoredItem
from standins.platform_engine import StandinEngine, stream_events
from tests.endless_engine import (
    MAX_SENT_BYTES,
    EndlessEngine,
    dribbling_engine,
    every_endless_response,
)
from tests.item_runs.test_cut_items import BATCH_ROUTE, _run, runner

__all__ = ('runner',)

MAX_WAIT_S = 8
LIMIT_S = 0.3
ROUTE = attrs.evolve(BATCH_ROUTE, max_event_gap_s=0.05)


@pytest.fixture(autouse=True)
def short_limits(monkeypatch):
    """Have waits end soon; the limits themselves are the same."""
    monkeypatch.setattr(item_runner, 'FIRST_EVENT_TIMEOUT_S', LIMIT_S)


def _progress():
    return ItemProgress('j1', StoredItem('x1', '/p/x', {}, b'', 1))


@every_endless_response
@pytest.mark.parametrize('make_engine', [EndlessEngine, dribbling_engine])
async def test_run_without_end_ends_and_does_not_complete(
    runner, network, kind, make_engine
):
    engine, progress = make_engine(kind), _progress()
    with trio.fail_after(MAX_WAIT_S):
        end = await _run(runner, progress, engine, network)
    assert end in {RunEnd.CUT, RunEnd.FAILED, RunEnd.REFUSED}
    assert engine.sent_bytes < MAX_SENT_BYTES


async def test_output_without_end_is_discarded(runner, network, monkeypatch):
    """An upstream that numbers its events on and on fills no memory."""
    monkeypatch.setattr(item_module, 'MAX_OUTPUT_BYTES', 10_000)
    progress = _progress()
    endless = StandinEngine(stream_events(10_000_000))
    with trio.fail_after(MAX_WAIT_S):
        end = await _run(runner, progress, endless, network)
    assert end is RunEnd.CUT
    assert not progress.has_progress
    assert progress.last_event_id is None
