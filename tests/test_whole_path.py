"""End-to-end requests of a caller through a fleet of processes."""

import json
import pathlib
import time

import openai
import pytest

from standins.fleet import FleetPlan, open_fleet

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
MESSAGES = [{'role': 'user', 'content': 'Draft the handover clause.'}]
API_KEY = 'demo-key'


@pytest.fixture
def fleet(network, tmp_path):
    plan = FleetPlan(network=network)
    with open_fleet(
        plan, tmp_path, str(EXAMPLES / 'configuration.toml')
    ) as running_fleet:
        yield running_fleet
    codes = running_fleet.exit_codes()
    assert set(codes.values()) == {0}, codes


def _wait_completed(client, job_id):
    """Return the job once it is completed; fail after about 20 s."""
    for _ in range(200):
        job = client.batches.retrieve(job_id)
        if job.status == 'completed':
            return job
        time.sleep(0.1)
    raise AssertionError('the job did not complete')


def test_openai_client_runs_completions_and_batch_job(fleet):
    client = openai.OpenAI(
        base_url=f'{fleet.entry_url(0)}/v1', api_key=API_KEY, max_retries=5
    )
    assert [model.id for model in client.models.list()] == ['clause-drafter']

    completion = client.chat.completions.create(
        model='clause-drafter', messages=MESSAGES, max_tokens=5
    )
    stream = client.chat.completions.create(
        model='clause-drafter', messages=MESSAGES, max_tokens=5, stream=True
    )
    deltas = [event.choices[0].delta.content or '' for event in stream]
    assert ''.join(deltas) == completion.choices[0].message.content
    assert len(completion.choices[0].message.content.split()) == 5

    text = client.completions.create(
        model='clause-drafter', prompt='The handover is', max_tokens=5
    )
    events = client.completions.create(
        model='clause-drafter',
        prompt='The handover is',
        max_tokens=5,
        stream=True,
    )
    words = [event.choices[0].text for event in events]
    assert ''.join(words) == text.choices[0].text
    assert len(words) == 5

    uploaded = client.files.create(
        file=(EXAMPLES / 'holiday-sections.jsonl').open('rb'), purpose='batch'
    )
    created = client.batches.create(
        input_file_id=uploaded.id,
        endpoint='/v1/chat/completions',
        completion_window='24h',
    )
    job = _wait_completed(client, created.id)
    assert (job.request_counts.completed, job.request_counts.failed) == (38, 2)

    inputs = (EXAMPLES / 'holiday-sections.jsonl').read_text().splitlines()
    results = client.files.content(job.output_file_id).text.splitlines()
    assert _custom_ids(results) == _custom_ids(inputs)

    repeated = client.batches.create(
        input_file_id=uploaded.id,
        endpoint='/v1/chat/completions',
        completion_window='24h',
    )
    assert repeated.id == job.id


def _custom_ids(lines):
    return sorted(json.loads(line)['custom_id'] for line in lines)
