"""Expiry and capacity of the set of recent identifiers."""

import pytest

from briarrill.errors import OverloadedError
from briarrill.sidecar.recent_ids import RecentIds


def test_full_set_rejects_new_identifiers_until_one_expires(monkeypatch):
    clock = [0.0]
    monkeypatch.setattr(
        'briarrill.sidecar.recent_ids.time.monotonic', lambda: clock[0]
    )
    recent = RecentIds(limit=2)
    assert recent.add('long', 60)
    assert recent.add('short', 1)
    with pytest.raises(OverloadedError):
        recent.add('third', 1)
    assert not recent.add('long', 60)
    clock[0] = 2
    assert recent.add('third', 1)
    assert not recent.add('long', 60)
    assert len(recent) == 2
