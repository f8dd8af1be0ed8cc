"""Tests of loading the newest intact copy of a checkpoint."""

import pytest

from briarrill.state.checkpoint_file import CheckpointFile


def _newest_copy(directory):
    """Return the path of the copy with the highest sequence number."""
    return max(directory.iterdir(), key=lambda path: path.read_bytes()[8:16])


def test_load_without_saved_copy_returns_none(tmp_path):
    assert CheckpointFile(tmp_path / 'missing').load() is None


def test_load_after_restart_returns_latest_body(tmp_path):
    checkpoint = CheckpointFile(tmp_path / 'made')
    for number in range(5):
        checkpoint.save(b'body %d' % number)
    reopened = CheckpointFile(tmp_path / 'made')
    assert reopened.load() == b'body 4'
    reopened.save(b'later')
    assert CheckpointFile(tmp_path / 'made').load() == b'later'


@pytest.mark.parametrize('size', [0, 7, 12, 18])
def test_load_with_truncated_newest_copy_returns_previous_body(tmp_path, size):
    checkpoint = CheckpointFile(tmp_path)
    checkpoint.save(b'first')
    checkpoint.save(b'second')
    newest = _newest_copy(tmp_path)
    newest.write_bytes(newest.read_bytes()[:size])
    assert CheckpointFile(tmp_path).load() == b'first'


def test_save_after_load_with_damaged_copy_replaces_it(tmp_path):
    checkpoint = CheckpointFile(tmp_path)
    checkpoint.save(b'first')
    checkpoint.save(b'second')
    newest = _newest_copy(tmp_path)
    newest.write_bytes(newest.read_bytes()[:-1] + b'!')
    reopened = CheckpointFile(tmp_path)
    reopened.load()
    reopened.save(b'third')
    assert _newest_copy(tmp_path) == newest
    assert CheckpointFile(tmp_path).load() == b'third'
