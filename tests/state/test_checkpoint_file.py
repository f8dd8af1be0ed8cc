"""The newest whole copy is found, whatever happened to the other."""

import pytest

from briarrill.state.checkpoint_file import CheckpointFile


def _newest(directory):
    return max(directory.iterdir(), key=lambda path: path.read_bytes()[8:16])


def test_nothing_is_found_where_nothing_was_saved(tmp_path):
    assert CheckpointFile(tmp_path / 'missing').load() is None


def test_newest_body_is_found_after_a_restart(tmp_path):
    disk = CheckpointFile(tmp_path / 'made')
    for number in range(5):
        disk.save(b'body %d' % number)
    again = CheckpointFile(tmp_path / 'made')
    assert again.load() == b'body 4'
    again.save(b'later')
    assert CheckpointFile(tmp_path / 'made').load() == b'later'


@pytest.mark.parametrize('kept', [0, 7, 12, 18])
def test_torn_copy_leaves_the_one_before(tmp_path, kept):
    disk = CheckpointFile(tmp_path)
    disk.save(b'first')
    disk.save(b'second')
    newest = _newest(tmp_path)
    newest.write_bytes(newest.read_bytes()[:kept])
    assert CheckpointFile(tmp_path).load() == b'first'


def test_next_save_replaces_the_torn_copy(tmp_path):
    disk = CheckpointFile(tmp_path)
    disk.save(b'first')
    disk.save(b'second')
    newest = _newest(tmp_path)
    newest.write_bytes(newest.read_bytes()[:-1] + b'!')
    again = CheckpointFile(tmp_path)
    again.load()
    again.save(b'third')
    assert _newest(tmp_path) == newest
    assert CheckpointFile(tmp_path).load() == b'third'
