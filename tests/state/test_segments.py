"""Tests of segments in a data folder."""

import pytest

from briarrill.errors import NotFoundError, SegmentLostError, StoreFullError
from briarrill.state.segments import SegmentFolder, segment_name

BODY = b'one\ntwo\n'
NAME = segment_name(BODY)


def _open_folder(path, max_bytes=1000):
    return SegmentFolder(str(path), max_bytes)


def test_stored_segment_can_be_read_after_restart(tmp_path):
    _open_folder(tmp_path).put(NAME, BODY)
    assert _open_folder(tmp_path).get(NAME) == BODY


@pytest.mark.parametrize('size', range(len(BODY)))
def test_partial_file_of_killed_writer_is_deleted_on_open(tmp_path, size):
    (tmp_path / f'{NAME}.partial').write_bytes(BODY[:size])
    folder = _open_folder(tmp_path)
    assert folder.used_bytes == 0
    with pytest.raises(NotFoundError):
        folder.get(NAME)


def test_get_of_damaged_segment_raises_segment_lost(tmp_path):
    _open_folder(tmp_path).put(NAME, BODY)
    (tmp_path / NAME).write_bytes(b'One\ntwo\n')
    with pytest.raises(SegmentLostError):
        _open_folder(tmp_path).get(NAME)


def test_put_with_wrong_checksum_stores_nothing(tmp_path):
    with pytest.raises(SegmentLostError):
        _open_folder(tmp_path).put(NAME, b'other')
    assert not list(tmp_path.iterdir())


def test_put_to_full_folder_raises_and_keeps_stored_segments(tmp_path):
    folder = _open_folder(tmp_path, max_bytes=len(BODY))
    folder.put(NAME, BODY)
    other = b'three\n'
    with pytest.raises(StoreFullError):
        folder.put(segment_name(other), other)
    folder.put(NAME, BODY)
    assert folder.get(NAME) == BODY
