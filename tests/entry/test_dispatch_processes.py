"""Separate processes: a sidecar is killed, frozen or cut off by one entry."""

import contextlib
import itertools
import json
import pathlib
import threading
import time

import httpx
import pytest

from standins.fleet import FleetPlan, open_fleet

EXAMPLES = pathlib.Path(__file__).parent.parent.parent / 'examples'
HEADERS = {'Authorization': 'Bearer demo-key'}
STREAMS = 8


@pytest.fixture
def fleet(network, tmp_path):
    plan = FleetPlan(network=network, entries=1, services=1, token_ms=30)
    with open_fleet(
        plan, tmp_path, str(EXAMPLES / 'configuration.toml')
    ) as running:
        yield running


class _Stream(threading.Thread):
    """Reads one streamed answer to its end."""

    def __init__(self, fleet, number):
        super().__init__(daemon=True)
        self.url = f'{fleet.entry_url(0)}/v1/chat/completions'
        self.body = {
            'model': 'clause-drafter',
            'messages': [{'role': 'user', 'content': f'Clause {number}.'}],
            'max_tokens': 60,
            'stream': True,
        }
        self.events = []
        self.first_at = 0
        self.ended_at = 0
        self.start()

    def run(self):
        with httpx.stream(
            'POST', self.url, json=self.body, headers=HEADERS, timeout=30
        ) as reply:
            for line in reply.iter_lines():
                if line:
                    self.first_at = self.first_at or time.monotonic()
                    self.events.append(line.removeprefix('data: '))
        self.ended_at = time.monotonic()

    @property
    def is_whole(self):
        return self.events[-1] == '[DONE]'

    @property
    def error(self):
        return json.loads(self.events[-1]).get('error')


def _start_streams(fleet):
    streams = [_Stream(fleet, number) for number in range(STREAMS)]
    while not all(stream.first_at for stream in streams):
        time.sleep(0.01)
    return streams


def _join(streams):
    for stream in streams:
        stream.join(30)


def test_killed_sidecar_ends_its_streams_with_an_error_at_once(fleet):
    streams = _start_streams(fleet)
    killed_at = time.monotonic()
    fleet.members['sidecar-0'].kill()
    _join(streams)
    cut = [stream for stream in streams if not stream.is_whole]
    assert 0 < len(cut) < STREAMS
    for stream in cut:
        assert stream.error['code'] == 401
        assert stream.error['ran'] == 'yes'
        assert stream.ended_at < killed_at + 1
    # what begins afterwards runs at the other upstream
    again = _start_streams(fleet)
    _join(again)
    assert all(stream.is_whole for stream in again)


def _submit(fleet, body, outcome):
    with contextlib.suppress(httpx.HTTPError):
        outcome.append(
            httpx.post(
                f'{fleet.entry_url(0)}/services/approvals/submit?sleep=1',
                content=body,
                headers=HEADERS,
                timeout=30,
            )
        )


def test_call_of_a_frozen_sidecar_runs_at_most_once(fleet):
    """Sent, given up, and found in the buffers after the thaw."""
    sidecar = fleet.members['sidecar-2']
    sidecar.suspend()
    outcome = []
    _submit(fleet, 'plan-7', outcome)
    sidecar.resume()
    error = outcome[0].json()['error']
    assert (error['code'], error['ran']) in {(403, 'unknown'), (302, 'no')}
    time.sleep(1.5)
    counts = httpx.get(f'{fleet.upstream_url(2)}/counts').json()
    assert counts.get('plan-7', 0) <= (error['ran'] == 'unknown')


def test_caller_that_goes_away_frees_the_engine(fleet):
    body = {
        'model': 'clause-drafter',
        'messages': [{'role': 'user', 'content': 'Long clause.'}],
        'max_tokens': 2000,
        'stream': True,
    }
    with httpx.stream(
        'POST',
        f'{fleet.entry_url(0)}/v1/chat/completions',
        json=body,
        headers=HEADERS,
        timeout=30,
    ) as reply:
        # the first event comes before the engine generates
        lines = (line for line in reply.iter_lines() if line)
        assert len(list(itertools.islice(lines, 3))) == 3
        assert _running(fleet) == 1
    deadline = time.monotonic() + 10
    while _running(fleet) and time.monotonic() < deadline:
        time.sleep(0.05)
    assert _running(fleet) == 0


def _running(fleet):
    return sum(
        httpx.get(f'{fleet.upstream_url(number)}/counts').json()['running']
        for number in (0, 1)
    )
