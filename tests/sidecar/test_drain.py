"""Drain of sidecar and entry processes under load."""

import pathlib
import threading
import time

import httpx
import pytest

from standins.fleet import FleetPlan, open_fleet

ROOT = pathlib.Path(__file__).parent.parent.parent
TOKENS = 300
CALLERS = 4
HEADERS = {'Authorization': 'Bearer demo-key'}
BODY = {
    'model': 'clause-drafter',
    'stream': True,
    'max_tokens': TOKENS,
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
        self.answers = []
        self.failures = []
        self._stop = threading.Event()
        self._threads = [
            threading.Thread(target=self._call_until_stopped)
            for _ in range(CALLERS)
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
                self.answers.append(self._call())
            except Exception as exc:
                self.failures.append(exc)

    def _is_ready(self):
        """Poll the readiness as the load balancer does."""
        try:
            return httpx.get(f'{self.url}/readyz').is_success
        except httpx.ConnectError:
            return False

    def _call(self):
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
        assert text.count('"content": "') == TOKENS + 1
        return text


def _calls(fleet, number):
    """Return the number of calls that an engine has received."""
    counts = httpx.get(f'{fleet.upstream_url(number)}/counts').json()
    return sum(counts['calls'].values())


def _wait(condition):
    deadline = time.monotonic() + 30
    while not condition():
        assert time.monotonic() < deadline
        time.sleep(0.05)


def test_stopped_sidecar_finishes_its_streams_and_gets_no_new_calls(fleet):
    with _Load(fleet.entry_url(0)) as one, _Load(fleet.entry_url(1)) as two:
        while min(_calls(fleet, 0), _calls(fleet, 1)) < CALLERS:
            time.sleep(0.05)
        fleet.members['sidecar-0'].process.terminate()
        time.sleep(DRAIN_PROPAGATION_S)
        left = _calls(fleet, 0)
        served = _calls(fleet, 1)
        assert fleet.members['sidecar-0'].process.wait(10) == 0
        _wait(lambda: _calls(fleet, 1) > served)
        assert _calls(fleet, 0) == left
    assert not one.failures + two.failures
    assert one.answers + two.answers


def test_stopped_entry_finishes_its_streams(fleet):
    with _Load(fleet.entry_url(0)) as other, _Load(fleet.entry_url(1)) as own:
        while not own.answers:
            time.sleep(0.05)
        assert fleet.members['entry-1'].stop() == 0
        before = len(other.answers)
        _wait(lambda: len(other.answers) > before)
    assert not own.failures + other.failures
