"""Fixtures, hypothesis profile and the known failures as xfail."""

import itertools
import os
import pathlib

import hypothesis
import pytest

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_FAILURES_FILE = ROOT / 'KNOWN-RED.txt'

# second number of the first worker's loopback addresses, 127.<number>.0.0/16
FIRST_NETWORK_NUMBER = int(os.environ.get('BRIARRILL_TEST_NETWORK', '100'))

hypothesis.settings.register_profile(
    'repeatable', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('repeatable')

# workers with networks of their own, and networks in one second number
MAX_WORKERS = 32
NETWORKS_PER_NUMBER = 256

_network_numbers = itertools.count()


def _known_failures() -> dict[str, str]:
    """Return the line of KNOWN-RED.txt for each test id in it."""
    lines = KNOWN_FAILURES_FILE.read_text(encoding='utf-8').splitlines()
    entries = [line for line in lines if line and not line.startswith('#')]
    return {line.split(' | ')[0]: line for line in entries}


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Mark known failures as xfail, which lists them in the summary."""
    reasons = _known_failures()
    for test in items:
        if test.nodeid in reasons:
            test.add_marker(pytest.mark.xfail(reason=reasons[test.nodeid]))


@pytest.fixture
def network() -> str:
    """Return a loopback /24 prefix, such as ``127.100.0``, of its own."""
    worker = os.environ.get('PYTEST_XDIST_WORKER', 'gw0')
    second = FIRST_NETWORK_NUMBER + int(worker.removeprefix('gw'))
    carry, third = divmod(next(_network_numbers), NETWORKS_PER_NUMBER)
    return f'127.{second + carry * MAX_WORKERS}.{third}'
