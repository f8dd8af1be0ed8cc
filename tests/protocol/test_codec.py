"""Tests of encoding and decoding messages between processes."""

import pytest

from briarrill.errors import (
    BriarrillError,
    MalformedMessageError,
    OverloadedError,
)
from briarrill.protocol.codec import (
    decode,
    encode,
    error_from_failure,
    failure_from_error,
)
from briarrill.protocol.messages import Chunk, Hello


def test_encoded_message_decodes_to_an_equal_message():
    chunk = Chunk(request_id='r', attempt=1, seq=2, body=b'\x00text')
    assert decode(encode(chunk)) == chunk


@pytest.mark.parametrize(
    'frames',
    [
        [],
        [b'Chunk'],
        [b'NoSuchMessage', b''],
        [b'Chunk', b'\xff\xff'],
        [encode(Chunk('r', 1, 2, b''))[0], encode(Hello('p', 'd'))[1]],
    ],
)
def test_malformed_frames_raise_malformed_message_error(frames):
    with pytest.raises(MalformedMessageError):
        decode(frames)


def test_error_sent_as_failure_keeps_class_ran_and_retry_time():
    sent = OverloadedError('full', retry_after_s=2)
    received = error_from_failure(failure_from_error(sent))
    assert isinstance(received, OverloadedError)
    assert isinstance(received, BriarrillError)
    assert (received.ran, received.retry_after_s) == (sent.ran, 2)
