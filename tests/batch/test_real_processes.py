"""A job on real processes with kill -9 and a suspended owner."""

import json
import pathlib
import time

import httpx
import pytest

from standins.engine import EngineModel
from standins.fleet import FleetPlan, open_fleet

EXAMPLES = pathlib.Path(__file__).parent.parent.parent / 'examples'
ITEM_COUNT = 400
TOKENS_PER_ITEM = 4
LEASE_TTL_S = 2
WAIT_DEADLINE_S = 60.0


@pytest.fixture
def fleet(network, tmp_path):
    plan = FleetPlan(
        network=network,
        failure_domains=('hobart-a', 'launceston-b', 'devonport-c'),
        entries=3,
        services=0,
        token_ms=15.0,
        lease_ttl_s=LEASE_TTL_S,
    )
    configuration = str(EXAMPLES / 'configuration.toml')
    with open_fleet(plan, tmp_path, configuration) as running:
        yield running


def _prompt(number):
    return f'Draft section {number}.'


def _input_line(number):
    body = {
        'model': 'clause-drafter',
        'max_tokens': TOKENS_PER_ITEM,
        'messages': [{'role': 'user', 'content': _prompt(number)}],
    }
    return json.dumps(
        {
            'custom_id': str(number),
            'method': 'POST',
            'url': '/v1/chat/completions',
            'body': body,
        }
    )


def _wait_for(condition):
    deadline = time.monotonic() + WAIT_DEADLINE_S
    while time.monotonic() < deadline:
        found = condition()
        if found:
            return found
        time.sleep(0.05)
    raise AssertionError(f'condition not met in {WAIT_DEADLINE_S} s')


def _owner_at_epoch(fleet, epoch):
    """Return the batch process whose log shows a run under this epoch."""
    for number in range(fleet.plan.entries):
        log = fleet.folder / f'entry-{number}.batch.log'
        for row in log.read_text().splitlines():
            if '"job:run"' in row and f'"epoch": {epoch}' in row:
                return fleet.members[f'batch-{number}']
            if '"job:run"' in row and f'"epoch":{epoch}' in row:
                return fleet.members[f'batch-{number}']
    return None


def _expected_text(number):
    engine = EngineModel(('clause-drafter',), 0.0, seed=1)
    words = [
        engine.token_at(_prompt(number), position)
        for position in range(TOKENS_PER_ITEM)
    ]
    return ''.join(words)


def test_owner_and_sidecar_killed_and_owner_suspended_each_item_has_one_result(
    fleet,
):
    client = httpx.Client(
        base_url=fleet.entry_url(0),
        headers={'Authorization': 'Bearer demo-key'},
        timeout=30,
    )
    text = '\n'.join(_input_line(number) for number in range(ITEM_COUNT))
    uploaded = client.post(
        '/v1/files',
        files={'file': ('jobs.jsonl', text.encode())},
        data={'purpose': 'batch'},
    ).json()
    job = client.post(
        '/v1/batches',
        json={
            'input_file_id': uploaded['id'],
            'endpoint': '/v1/chat/completions',
        },
    ).json()

    _wait_for(lambda: _owner_at_epoch(fleet, 1))
    time.sleep(0.5)
    killed_owner = _owner_at_epoch(fleet, 1)
    killed_owner.kill()
    second_owner = _wait_for(lambda: _owner_at_epoch(fleet, 2))
    fleet.members['sidecar-0'].kill()
    fleet.start_sidecar(0)
    time.sleep(0.5)
    # each segment needs two data folders, so the killed process restarts
    fleet.start_batch(int(killed_owner.name.removeprefix('batch-')))
    second_owner.suspend()
    _wait_for(lambda: _owner_at_epoch(fleet, 3))
    second_owner.resume()

    def finished():
        view = client.get(f'/v1/batches/{job["id"]}').json()
        return view if view['status'] == 'completed' else None

    view = _wait_for(finished)
    assert view['request_counts'] == {
        'total': ITEM_COUNT,
        'completed': ITEM_COUNT,
        'failed': 0,
    }
    content = client.get(f'/v1/files/{view["output_file_id"]}/content')
    rows = [json.loads(row) for row in content.text.splitlines()]
    assert sorted(int(row['custom_id']) for row in rows) == list(
        range(ITEM_COUNT)
    )
    for row in rows:
        message = row['response']['body']['choices'][0]['message']
        assert message['content'] == _expected_text(int(row['custom_id']))
