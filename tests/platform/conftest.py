"""Fixtures of the platform's tests."""

import pytest

from briarrill.coordination import mirror


class Clock:
    """A monotonic clock that the test advances."""

    now = 1000.0


@pytest.fixture
def clock(monkeypatch):
    """Return the clock that ``time.monotonic`` reads."""
    clock = Clock()
    monkeypatch.setattr(mirror.time, 'monotonic', lambda: clock.now)
    return clock
