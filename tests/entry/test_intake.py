"""Intake of uploaded files: invalid lines, segments and size limits."""

import json

import pytest

from briarrill.entry.intake import FileIntake
from briarrill.errors import (
    InvalidLinesError,
    PlatformUnavailableError,
    TooLargeError,
)
from briarrill.state.job_records import Place, SegmentRef

MAX_FILE_BYTES = 1_000_000_000


class FakeSegmentReplicas:
    """Keeps the stored segments in memory, or raises an error."""

    def __init__(self, error=None):
        self.bodies = []
        self.error = error

    async def put(self, body, lines):
        if self.error:
            raise self.error
        self.bodies.append(body)
        place = Place('entry-0', '127.0.0.1', 'a')
        return SegmentRef(str(len(self.bodies)), lines, len(body), (place,))


def _input_line(custom_id, **changes):
    """Return a valid input line, with changes."""
    line = {
        'custom_id': custom_id,
        'method': 'POST',
        'url': '/v1/chat/completions',
        'body': {'model': 'clause-drafter', 'messages': []},
    }
    return json.dumps({**line, **changes})


async def _store(
    text, segment_replicas=None, part_bytes=7, max_bytes=MAX_FILE_BYTES
):
    """Pass a text through the intake in parts of some bytes."""
    body = text.encode()

    async def parts():
        for start in range(0, len(body), part_bytes):
            yield body[start : start + part_bytes]

    intake = FileIntake(
        segment_replicas or FakeSegmentReplicas(), 'kinship', max_bytes
    )
    return await intake.store(parts())


async def test_invalid_lines_are_reported_by_number():
    text = '\n'.join(
        [
            _input_line('a'),
            '{',
            '',
            _input_line('a'),
            _input_line('b', method='GET'),
            _input_line('c', url='/v1/files'),
            _input_line('d', body={'messages': []}),
        ]
    )
    with pytest.raises(InvalidLinesError) as raised:
        await _store(text)
    message = raised.value.message
    for number in (2, 4, 5, 6, 7):
        assert f'line {number}: ' in message
    for number in (1, 3):
        assert f'line {number}: ' not in message
    assert "custom_id: 'a' occurs twice" in message


@pytest.mark.parametrize('part_bytes', [1, 64, 100_000])
async def test_same_content_in_other_parts_has_the_same_file_id(part_bytes):
    text = '\n'.join(_input_line(str(number)) for number in range(50))
    segment_replicas = FakeSegmentReplicas()
    record = await _store(text, segment_replicas, part_bytes)
    assert record.file_id == (await _store(text)).file_id
    assert record.lines == 50
    assert b''.join(segment_replicas.bodies).decode() == f'{text}\n'


async def test_large_file_is_stored_in_segments_of_about_a_megabyte():
    text = '\n'.join(
        _input_line(str(number), body={'model': 'm', 'pad': 'x' * 900})
        for number in range(3000)
    )
    segment_replicas = FakeSegmentReplicas()
    record = await _store(text, segment_replicas, part_bytes=65_536)
    assert [ref.size for ref in record.segments] == [
        len(body) for body in segment_replicas.bodies
    ]
    assert len(segment_replicas.bodies) >= 2
    assert max(len(body) for body in segment_replicas.bodies) < 1_100_000


async def test_failed_replica_stores_raise_platform_unavailable():
    error = PlatformUnavailableError('1 of 2 copies', retry_after_s=5)
    with pytest.raises(PlatformUnavailableError):
        await _store(_input_line('a'), FakeSegmentReplicas(error))


async def test_file_above_max_bytes_raises_too_large():
    with pytest.raises(TooLargeError):
        await _store(_input_line('a'), max_bytes=20)


@pytest.mark.parametrize('text', ['', '\n \n'])
async def test_file_without_lines_raises_invalid_lines(text):
    with pytest.raises(InvalidLinesError):
        await _store(text)
