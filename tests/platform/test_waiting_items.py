"""A batch process tells why items are not started."""

import itertools
import json

import pytest
import trio

from briarrill.transport.http_messages import RequestHead
from standins.platform_store import StandinStore
from tests.platform.platform_fleet import BORN_MS, PEER_PORT, send_request_to
from tests.platform.small_fleet import check_service, small_fleet

REGISTRATION = {
    'service': 'llm',
    'zone': 'a',
    'version': 'v1',
    'slots': 4,
    'state': 'draining',
    'born': BORN_MS,
}

# number of the batch process's address
BATCH = 3


@pytest.fixture
async def fleet(network, tmp_path):
    async with small_fleet(network, tmp_path, StandinStore()) as fleet:
        yield fleet


async def _read_metrics(fleet):
    """Return the metrics of the batch process."""
    status, body = await send_request_to(
        (f'{fleet.network}.{BATCH}', PEER_PORT),
        RequestHead(b'GET', b'/metrics', ((b'host', b'h'),)),
    )
    assert status == 200
    return body.decode().splitlines()


async def test_waiting_items_are_in_the_metrics_of_a_batch_process(fleet):
    await check_service(fleet, 'early')
    leaving = {**REGISTRATION, 'address': f'{fleet.network}.9:8080'}
    fleet.store.put('servers/sound', json.dumps(leaving).encode())
    waiting = 'briarrill_waiting_items{reason="none-accepting"}'
    with trio.fail_after(30):
        # the first items may start before the departure is known
        for number in itertools.count():
            assert await fleet.submit(f'late-{number}', 1) == 202
            await trio.sleep(1.5)
            values = [
                float(line.removeprefix(waiting))
                for line in await _read_metrics(fleet)
                if line.startswith(waiting)
            ]
            if any(values):
                return
