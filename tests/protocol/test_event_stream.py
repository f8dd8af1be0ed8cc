"""Tests of splitting a byte stream into events at any chunk boundaries."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from briarrill.errors import UpstreamLostError
from briarrill.protocol import event_stream
from briarrill.protocol.event_stream import (
    MAX_COMMENT_BYTES,
    EventSplitter,
    EventTracker,
    StreamPosition,
)

DATA_FIELDS = st.binary(max_size=20).filter(
    lambda line: not set(line) & set(b'\r\n\x0b\x0c\x1c\x1d\x1e\x85')
)


@given(
    st.lists(DATA_FIELDS, max_size=8), st.lists(st.integers(0, 60), max_size=9)
)
def test_events_split_at_any_positions_are_returned_whole(texts, cuts):
    raw = b''.join(
        b'id: %d\ndata: %s\n\n' % (number, text)
        for number, text in enumerate(texts)
    )
    splitter = EventSplitter()
    tracker = EventTracker()
    events = []
    start = 0
    for end in [*sorted(cuts), len(raw)]:
        events.extend(splitter.add_bytes(raw[start:end]))
        tracker.add_bytes(raw[start:end])
        start = max(start, end)
    assert [event.event_id for event in events] == list(range(len(texts)))
    assert [event.data for event in events] == texts
    assert b''.join(event.raw for event in events) == raw
    tracker.check_end()


def test_stream_that_ends_without_an_event_end_raises_upstream_lost():
    raw = b'id: 1\ndata: a\n'
    tracker = EventTracker()
    tracker.add_bytes(raw)
    assert EventSplitter().add_bytes(raw) == []
    with pytest.raises(UpstreamLostError):
        tracker.check_end()


def test_event_with_unknown_field_and_two_data_lines_is_parsed():
    raw = b'briarrill-weights: 2\r\nid: 7\r\ndata: a\r\ndata:b\r\n\r\n'
    (event,) = EventSplitter().add_bytes(raw)
    assert (event.event_id, event.data, event.raw) == (7, b'a\nb', raw)


def test_event_longer_than_limit_raises_upstream_lost(monkeypatch):
    monkeypatch.setattr(event_stream, 'MAX_EVENT_BYTES', 10)
    with pytest.raises(UpstreamLostError):
        EventSplitter().add_bytes(b'data: longer than ten')


@pytest.mark.parametrize('line_end', [b'\n', b'\r\n', b'\r'])
def test_tracker_position_after_every_byte(line_end):
    event = line_end.join((b'id: 1', b'data: a', b'', b''))
    for length in range(3 * len(event) + 1):
        tracker = EventTracker()
        for start in range(length):
            tracker.add_bytes((event * 3)[start : start + 1])
        if length == 0:
            assert tracker.position is StreamPosition.START
        elif length % len(event) == 0:
            assert tracker.position is StreamPosition.BETWEEN_EVENTS
        else:
            assert tracker.position is StreamPosition.INSIDE_EVENT


@pytest.mark.parametrize('digits', [20, 5000])
def test_number_of_many_digits_ends_the_stream(digits):
    raw = b'id: 7\nid: %b\ndata: x\n\n' % (b'9' * digits)
    with pytest.raises(UpstreamLostError):
        EventSplitter().add_bytes(raw)


@pytest.mark.parametrize('text', [b'', b'x', b'-1', '\u0661'.encode()])
def test_text_that_is_no_number_is_ignored(text):
    raw = b'id: 7\nid: %b\ndata: x\n\n' % text
    (event,) = EventSplitter().add_bytes(raw)
    assert (event.event_id, event.data, event.raw) == (7, b'x', raw)


def _add_in_parts(raw, size):
    tracker = EventTracker()
    for start in range(0, len(raw), size):
        tracker.add_bytes(raw[start : start + size])


@pytest.mark.parametrize('comment', [b':\n\n', b': keep\r\n\r\n', b':x\r\r'])
@pytest.mark.parametrize('size', [7, 65_536])
def test_comments_without_end_are_no_stream(comment, size):
    count = MAX_COMMENT_BYTES // len(comment)
    _add_in_parts(comment * count, size)
    with pytest.raises(UpstreamLostError):
        _add_in_parts(comment * (count + size), size)


@pytest.mark.parametrize(
    'content',
    [
        b'id: 1\ndata: x\n\n',
        b'data\r\n\r\n',
        b'text that is no event\n',
        b': comment\rdata: x\r\r',
    ],
)
@pytest.mark.parametrize('size', [1, 5, 4096])
def test_comments_between_content_may_be_many(content, size):
    comments = b': keep\n\n' * (MAX_COMMENT_BYTES // 10)
    _add_in_parts((comments + content) * 3, size)


@pytest.mark.parametrize('size', [1, 4096])
def test_long_line_of_content_is_no_comment(size):
    _add_in_parts(b'data: ' + b':' * (2 * MAX_COMMENT_BYTES), size)


def test_long_comment_is_one():
    with pytest.raises(UpstreamLostError):
        _add_in_parts(b': ' + b'data:' * MAX_COMMENT_BYTES, 4096)
