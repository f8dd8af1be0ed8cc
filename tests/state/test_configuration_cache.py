"""Tests of the configuration that a process keeps for its next start."""

import os

from briarrill.state.configuration_cache import ConfigurationCache


def test_saved_record_is_synced_with_its_folder(tmp_path, monkeypatch):
    """A power loss after the rename must not bring the old record back."""
    synced = []
    sync = os.fsync

    def record(descriptor):
        synced.append(os.readlink(f'/proc/self/fd/{descriptor}'))
        sync(descriptor)

    monkeypatch.setattr(os, 'fsync', record)
    cache = ConfigurationCache(tmp_path / 'data')
    cache.save(b'record')
    assert cache.load() == b'record'
    assert synced[-1] == str(tmp_path / 'data')
