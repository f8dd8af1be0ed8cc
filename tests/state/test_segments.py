"""Segments on a data folder."""

import pytest

from briarrill.errors import NotFoundError, SegmentLostError, StoreFullError
from briarrill.state.segments import SegmentFolder, segment_name

BODY = b'one\ntwo\n'
NAME = segment_name(BODY)


def _open(path, max_bytes=1000):
    return SegmentFolder(str(path), max_bytes)


def test_segment_is_read_back_after_a_restart(tmp_path):
    _open(tmp_path).put(NAME, BODY)
    assert _open(tmp_path).get(NAME) == BODY


@pytest.mark.parametrize('size', range(len(BODY)))
def test_partial_file_of_a_killed_writer_is_dropped(tmp_path, size):
    (tmp_path / f'{NAME}.partial').write_bytes(BODY[:size])
    folder = _open(tmp_path)
    assert folder.used_bytes == 0
    with pytest.raises(NotFoundError):
        folder.get(NAME)


def test_damaged_copy_is_not_returned(tmp_path):
    _open(tmp_path).put(NAME, BODY)
    (tmp_path / NAME).write_bytes(b'One\ntwo\n')
    with pytest.raises(SegmentLostError):
        _open(tmp_path).get(NAME)


def test_wrong_checksum_is_not_stored(tmp_path):
    with pytest.raises(SegmentLostError):
        _open(tmp_path).put(NAME, b'other')
    assert not list(tmp_path.iterdir())


def test_full_folder_refuses_and_keeps_what_it_has(tmp_path):
    folder = _open(tmp_path, max_bytes=len(BODY))
    folder.put(NAME, BODY)
    other = b'three\n'
    with pytest.raises(StoreFullError):
        folder.put(segment_name(other), other)
    folder.put(NAME, BODY)
    assert folder.get(NAME) == BODY
