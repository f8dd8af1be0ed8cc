"""Fixtures, hypothesis profile and the known failures as xfail."""

import pathlib
import socket
from collections.abc import Iterator

import hypothesis
import pytest

from standins.loopback import NETWORK_NUMBERS, claim_network_number

ROOT = pathlib.Path(__file__).parent.parent
KNOWN_FAILURES_FILE = ROOT / 'KNOWN-RED.txt'

hypothesis.settings.register_profile(
    'repeatable', derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile('repeatable')

# networks in one second number; the last one is for the claim
NETWORKS_PER_NUMBER = 255

_claims: list[socket.socket] = []


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


def _networks() -> Iterator[str]:
    while len(_claims) < len(NETWORK_NUMBERS):
        number, claim = claim_network_number()
        _claims.append(claim)
        for third in range(NETWORKS_PER_NUMBER):
            yield f'127.{number}.{third}'


_own_networks = _networks()


@pytest.fixture
def network() -> str:
    """Return a loopback /24 prefix, such as ``127.100.0``, of its own."""
    return next(_own_networks)
