"""Results of jobs of which one reply of the store was damaged once."""

import pytest
import trio

from briarrill.coordination.job_table import JobTable
from briarrill.coordination.mirror import Mirror
from briarrill.platform.store import PlatformStore
from briarrill.state.keys import ROOT_PREFIX, job_results_prefix, numbered_key
from briarrill.state.stored_jobs import (
    ItemState,
    StoredResult,
    job_creation_changes,
    result_creation_changes,
)
from standins.platform_store import StandinStore
from tests.serving import serve_standin
from tests.state.test_stored_jobs import make_job

# time within which a stored result is readable at all entries
SETTLE_S = 1.0

KEY = numbered_key(job_results_prefix('j1'), 0)


class DamagingStore(StandinStore):
    """Damages the value of one key in the first reply that holds it."""

    def __init__(self):
        super().__init__()
        self.damaged = 0

    async def _dispatch(self, *args, **kwargs):
        status, body = await super()._dispatch(*args, **kwargs)
        listed = body.get('events') or body.get('items') or []
        for number, item in enumerate(listed):
            if item.get('key') == KEY and not self.damaged:
                self.damaged += 1
                listed[number] = {**item, 'value': item['value'][:-1]}
        return status, body


@pytest.mark.parametrize('is_late', [False, True], ids=['page', 'watch'])
async def test_item_that_was_damaged_once_is_not_missing_for_ever(is_late):
    store = DamagingStore()
    results = [StoredResult('j1-0', ItemState.COMPLETED, 'x')]

    def put(changes):
        for change in changes:
            store.put(change.key, change.body)

    put(job_creation_changes(make_job(), 1_000_000))
    if not is_late:
        put(result_creation_changes('j1', 0, results))
    async with (
        serve_standin(store) as address,
        trio.open_nursery() as nursery,
    ):
        client = PlatformStore(address)
        table = JobTable(client)
        mirror = Mirror(client, ROOT_PREFIX, table)
        nursery.start_soon(mirror.run)
        await mirror.synced.wait()
        if is_late:
            put(result_creation_changes('j1', 0, results))
        await trio.sleep(SETTLE_S)
        assert mirror.is_behind or len(table.find('j1').results) == 1
        client.close()
        nursery.cancel_scope.cancel()
