"""Drain of sidecar and entry processes under load."""

import pathlib
import threading
import time

import httpx
import pytest

from standins.fleet import FleetPlan, open_fleet

ROOT = pathlib.Path(__file__).parent.parent.parent
TOKEN_COUNT = 300
CALLER_COUNT = 4
HEADERS = {'Authorization': 'Bearer demo-key'}
BODY = {
    'model': 'clause-drafter',
    'stream': True,
    'max_tokens': TOKEN_COUNT,
    'messages': [{'role': 'user', 'content': 'Draft the handover clause.'}],
}

# time after which a draining upstream must get no new calls
DRAIN_PROPAGATION_S = 2.0


@pytest.fixture
def fleet(network, tmp_path):
    # the instance list keeps listing the drained upstream: entries must
    # learn of the drain from the sidecar
    plan = FleetPlan(network=network, services=0)
    with open_fleet(
        plan, tmp_path, str(ROOT / 'examples' / 'configuration.toml')
    ) as running:
        yield running


class _Load:
    """Caller threads that stream from one entry while it is ready."""

    def __init__(self, url):
        self.url = url
        self.responses = []
        self.failures = []
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._call_until_stopped)
            for _ in range(CALLER_COUNT)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *exc_info):
        self._stop.set()
        for thread in self._threads:
            thread.join()

    def _call_until_stopped(self):
        while not self._stop.is_set() and self._is_ready():
            try:
                self.responses.append(self._call())
            except Exception as exc:
                self.failures.append(exc)

    def _is_ready(self):
        """Poll the readiness as the load balancer does."""
        try:
            return httpx.get(f'{self.url}/readyz').is_success
        except httpx.ConnectError:
            return False

    def _call(self):
        """Read one stream; check that it is complete.

        Return its text, or ``limited`` if the contract reached its rate limit.
        """
        with httpx.stream(
            'POST',
            f'{self.url}/v1/chat/completions',
            json=BODY,
            headers=HEADERS,
            timeout=20,
        ) as reply:
            text = reply.read().decode()
        if reply.status_code == 429:
            # a fast machine reaches the contract's rate limit
            time.sleep(0.05)
            return 'limited'
        reply.raise_for_status()
        assert text.endswith('data: [DONE]\n\n'), text[-200:]
        assert text.count('"content": "') == TOKEN_COUNT + 1
        return text


def _count_calls(fleet, number):
    """Return the number of calls that an engine has received."""
    counts = httpx.get(f'{fleet.upstream_url(number)}/counts').json()
    return sum(counts['calls'].values())


def _wait_until(condition):
    deadline = time.monotonic() + 30
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


def test_stopped_sidecar_finishes_its_streams_and_gets_no_new_calls(fleet):
    with (
        _Load(fleet.entry_url(0)) as first_load,
        _Load(fleet.entry_url(1)) as second_load,
    ):
        while (
            min(_count_calls(fleet, 0), _count_calls(fleet, 1)) < CALLER_COUNT
        ):
            time.sleep(0.05)
        fleet.members['sidecar-0'].process.terminate()
        time.sleep(DRAIN_PROPAGATION_S)
        calls_while_draining = _count_calls(fleet, 0)
        calls_at_other = _count_calls(fleet, 1)
        assert fleet.members['sidecar-0'].process.wait(10) == 0
        _wait_until(lambda: _count_calls(fleet, 1) > calls_at_other)
        assert _count_calls(fleet, 0) == calls_while_draining
    assert not first_load.failures + second_load.failures
    assert first_load.responses + second_load.responses


def test_stopped_entry_finishes_its_streams(fleet):
    with (
        _Load(fleet.entry_url(0)) as other_load,
        _Load(fleet.entry_url(1)) as own_load,
    ):
        while not own_load.responses:
            time.sleep(0.05)
        assert fleet.members['entry-1'].stop() == 0
        before = len(other_load.responses)
        _wait_until(lambda: len(other_load.responses) > before)
    assert not own_load.failures + other_load.failures
