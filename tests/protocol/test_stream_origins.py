"""Datagrams about what began streams."""

import pytest

from briarrill.errors import MalformedMessageError
from briarrill.protocol.load_reports import LoadReport, encode_report
from briarrill.protocol.request_keys import stream_key
from briarrill.protocol.stream_origins import (
    OriginNotice,
    OriginQuestion,
    OriginReply,
    decode_origin,
    encode_origin,
    is_origin,
)

STREAM = stream_key('caller', 'r1')

MESSAGES = [
    OriginNotice(STREAM, 'v1.1'),
    OriginNotice(STREAM, 'v1', 'llm'),
    OriginNotice(STREAM, None),
    OriginQuestion(3, STREAM),
    OriginReply(3, is_known=True, version='v1'),
    OriginReply(3, is_known=True, version='v1', service='llm'),
    OriginReply(3, is_known=False, version=None),
]


@pytest.mark.parametrize('message', MESSAGES)
def test_message_is_read_as_it_was_written(message):
    raw = encode_origin(message)
    assert is_origin(raw)
    assert decode_origin(raw) == message
    assert len(raw) < 32


@pytest.mark.parametrize(
    'raw',
    [b'\x02', b'\x02\x91\x09', b'\x02\x93\x00\x01', b'\x02\x93\x00\xa1x\xc0'],
)
def test_malformed_message_is_refused(raw):
    with pytest.raises(MalformedMessageError):
        decode_origin(raw)


def test_reports_are_no_such_messages():
    assert not is_origin(encode_report(LoadReport('p', 'h', 1, 1)))


def test_streams_of_two_callers_or_attempts_differ():
    keys = {stream_key(caller, attempt) for caller in 'ab' for attempt in 'cd'}
    assert len(keys) == 4
