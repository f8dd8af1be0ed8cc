"""Instances that the operator empties and removes."""

import base64
import json

import pytest
import trio

from briarrill.item_runs.result_commits import COMMIT_DELAY_S
from briarrill.platform.retirement import Retirement
from standins.memory_key_value import MemoryKeyValue
from standins.platform_engine import stream_events
from standins.platform_store import StandinStore
from tests.platform.platform_fleet import start_process
from tests.platform.small_fleet import small_fleet

ITEMS = 6
RETIRED = 3
STATUS_KEY = f'status/retire/batch-{RETIRED}'

# text of an item's events, each of which takes a moment
EVENTS = 40
OUTPUT = '\n'.join(f'word-{number}' for number in range(1, EVENTS + 1))


def _state(store):
    entry = store.entries.get(STATUS_KEY)
    return entry and json.loads(base64.b64decode(entry.value))['state']


@pytest.mark.parametrize('duration_s', [0, 0.5, 8])
async def test_retired_instance_leaves_no_item_behind(
    network, tmp_path, duration_s
):
    """It and its disk are removed as soon as it says that it is empty."""
    store = StandinStore()
    async with small_fleet(network, tmp_path, store) as fleet:
        fleet.processes['other'] = await start_process(
            network, tmp_path, 'batch', RETIRED + 1
        )
        fleet.engine.behaviours = [stream_events(EVENTS, pause_s=0.02)]
        assert await fleet.submit('j1', ITEMS) == 202
        while len(fleet.engine.requests) < 2:
            await trio.sleep(0.01)
        store.put(
            f'op/retire/batch-{RETIRED}',
            json.dumps({'duration_s': duration_s}).encode(),
        )
        with trio.fail_after(60):
            while _state(store) != 'completed':
                await trio.sleep(0.01)
        fleet.processes['batch'].kill()
        with trio.fail_after(60):
            page = await fleet.read_results('j1', ITEMS)
        await trio.sleep(2 * COMMIT_DELAY_S)
        assert (await fleet.read_results('j1', ITEMS))['results'] == (
            page['results']
        )
    results = page['results']
    assert len({one['id'] for one in results}) == len(results) == ITEMS
    assert {one['output'] for one in results} == {OUTPUT}


@pytest.mark.parametrize(
    'request_body', [b'', b'7', b'{"duration_s":"x"}', b'{"duration_s":-1}']
)
async def test_odd_request_ends_no_process(network, tmp_path, request_body):
    store = StandinStore()
    async with small_fleet(network, tmp_path, store) as fleet:
        store.put(f'op/retire/batch-{RETIRED}', request_body)
        assert await fleet.submit('j1', ITEMS) == 202
        await fleet.read_results('j1', ITEMS)
        assert fleet.processes['batch'].poll() is None
        assert _state(store) is None


class _IdleScheduler:
    """A scheduler without items."""

    def __init__(self):
        self.local_items = self
        self.is_idle = True

    def begin_drain(self):
        """There is nothing to stop."""

    def preempt_all(self):
        """There is nothing to preempt."""


async def test_delayed_report_does_not_replace_a_later_one(autojump_clock):
    """The operator would wait for an instance that is empty."""
    service = MemoryKeyValue()
    service.delay_writes = 1
    retirement = Retirement(service, f'batch-{RETIRED}', _IdleScheduler())
    retirement.apply_key(f'op/retire/batch-{RETIRED}', b'{"duration_s":1}')
    with trio.fail_after(20):
        await retirement.run()
    service.apply_delayed_writes()
    entry = await service.read(STATUS_KEY)
    assert json.loads(entry.body)['state'] == 'completed'
