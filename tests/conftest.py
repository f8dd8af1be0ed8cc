"""Fixtures and the list of known failures."""

import itertools
import os
import pathlib

import hypothesis
import pytest

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_RED = ROOT / 'KNOWN-RED.txt'

# fleets of one test run use loopback networks from here on
FIRST_NETWORK = int(os.environ.get('BRIARRILL_TEST_NETWORK', '100'))

hypothesis.settings.register_profile(
    'repeatable', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('repeatable')

_numbers = itertools.count()


def _known_red() -> dict[str, str]:
    """Return test id to reason for each line of KNOWN-RED.txt."""
    lines = KNOWN_RED.read_text(encoding='utf-8').splitlines()
    entries = [line for line in lines if line and not line.startswith('#')]
    return {line.split(' | ')[0]: line for line in entries}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let a known failure pass the run and show it in the summary."""
    known = _known_red()
    for test in items:
        if test.nodeid in known:
            test.add_marker(pytest.mark.xfail(reason=known[test.nodeid]))


@pytest.fixture
def network() -> str:
    """Return the first three numbers of loopback addresses of its own."""
    worker = os.environ.get('PYTEST_XDIST_WORKER', 'gw0')
    number = int(worker.removeprefix('gw'))
    return f'127.{FIRST_NETWORK + number}.{next(_numbers)}'
