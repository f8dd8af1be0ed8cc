"""Separate processes: a sidecar is killed or suspended, a caller leaves."""

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
STREAM_COUNT = 8


@pytest.fixture
def fleet(network, tmp_path):
    plan = FleetPlan(network=network, entries=1, services=1, token_ms=30)
    with open_fleet(
        plan, tmp_path, str(EXAMPLES / 'configuration.toml')
    ) as running:
        yield running


class _Stream(threading.Thread):
    """Reads one streamed response to its end."""

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
        self.first_event_at = 0
        self.closed_at = 0
        self.start()

    def run(self):
        with httpx.stream(
            'POST', self.url, json=self.body, headers=HEADERS, timeout=30
        ) as reply:
            for line in reply.iter_lines():
                if line:
                    self.first_event_at = (
                        self.first_event_at or time.monotonic()
                    )
                    self.events.append(line.removeprefix('data: '))
        self.closed_at = time.monotonic()

    @property
    def is_complete(self):
        return self.events[-1] == '[DONE]'

    @property
    def error(self):
        return json.loads(self.events[-1]).get('error')


def _start_streams(fleet):
    """Start streams and wait for the first event of each."""
    streams = [_Stream(fleet, number) for number in range(STREAM_COUNT)]
    while not all(stream.first_event_at for stream in streams):
        time.sleep(0.01)
    return streams


def _join_all(streams):
    for stream in streams:
        stream.join(30)


def test_killed_sidecar_ends_its_streams_with_an_error_within_a_second(fleet):
    streams = _start_streams(fleet)
    killed_at = time.monotonic()
    fleet.members['sidecar-0'].kill()
    _join_all(streams)
    cut_streams = [stream for stream in streams if not stream.is_complete]
    assert 0 < len(cut_streams) < STREAM_COUNT
    for stream in cut_streams:
        assert stream.error['code'] == 401
        assert stream.error['ran'] == 'yes'
        assert stream.closed_at < killed_at + 1
    # later requests run at the other upstream
    later_streams = _start_streams(fleet)
    _join_all(later_streams)
    assert all(stream.is_complete for stream in later_streams)


def _post_submit(fleet, body, outcome):
    """Post a non-idempotent request that runs for a second."""
    with contextlib.suppress(httpx.HTTPError):
        outcome.append(
            httpx.post(
                f'{fleet.entry_url(0)}/services/approvals/submit?sleep=1',
                content=body,
                headers=HEADERS,
                timeout=30,
            )
        )


def test_non_idempotent_call_to_suspended_sidecar_runs_at_most_once(fleet):
    """The resumed sidecar finds the call in its buffer after its timeout."""
    sidecar = fleet.members['sidecar-2']
    sidecar.suspend()
    outcome = []
    _post_submit(fleet, 'plan-7', outcome)
    sidecar.resume()
    error = outcome[0].json()['error']
    assert (error['code'], error['ran']) in {(403, 'unknown'), (302, 'no')}
    time.sleep(1.5)
    counts = httpx.get(f'{fleet.upstream_url(2)}/counts').json()
    assert counts.get('plan-7', 0) <= (error['ran'] == 'unknown')


def test_disconnected_caller_stops_generation_at_the_engine(fleet):
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
        # the engine sends the first event before it generates tokens
        lines = (line for line in reply.iter_lines() if line)
        assert len(list(itertools.islice(lines, 3))) == 3
        assert _count_running(fleet) == 1
    deadline = time.monotonic() + 10
    while _count_running(fleet) and time.monotonic() < deadline:
        time.sleep(0.05)
    assert _count_running(fleet) == 0


def _count_running(fleet):
    """Return the number of requests that run at the engines."""
    return sum(
        httpx.get(f'{fleet.upstream_url(number)}/counts').json()['running']
        for number in (0, 1)
    )
