"""Tests of decoding bytes that other writers made."""

import base64
import zlib

import attrs
import pytest

from briarrill import decoding
from briarrill.decoding import (
    decode_base64,
    decompress,
    find_whole_number,
    json_decoder,
    msgpack_decoder,
)
from briarrill.errors import MalformedMessageError
from tests.odd_bodies import NESTED_MSGPACK, UNREADABLE_JSON

# levels that sound records never have, and that every task's stack leaves
MANY_LEVELS = 200


@attrs.frozen
class _Record:
    number: int = 0


@pytest.mark.parametrize('body', UNREADABLE_JSON)
def test_unreadable_json_is_malformed(body):
    with pytest.raises(MalformedMessageError):
        json_decoder(_Record).decode(body)


@pytest.mark.parametrize('body', [b'', b'\xc1', b'\x07', NESTED_MSGPACK])
def test_unreadable_msgpack_is_malformed(body):
    with pytest.raises(MalformedMessageError):
        msgpack_decoder(_Record).decode(body)


def test_unknown_field_of_moderate_depth_is_ignored():
    nested = b'[' * MANY_LEVELS + b']' * MANY_LEVELS
    body = b'{"x":%b,"number":3}' % nested
    assert json_decoder(_Record).decode(body) == _Record(3)


@pytest.mark.parametrize('text', ['b25', 'b25l!', '\u00fc', 'b25l\n='])
def test_text_that_is_no_base64_is_malformed(text):
    with pytest.raises(MalformedMessageError):
        decode_base64(text)


def test_base64_is_decoded():
    assert (
        decode_base64(base64.b64encode(b'\xff\0one').decode()) == b'\xff\0one'
    )


@pytest.mark.parametrize(
    'packed', [b'', b'x', zlib.compress(b'one')[:-1], zlib.compress(b'')[:3]]
)
def test_damaged_compressed_bytes_are_malformed(packed):
    with pytest.raises(MalformedMessageError):
        decompress(packed)


def test_bytes_that_decompress_too_large_are_malformed(monkeypatch):
    packed = zlib.compress(b'0' * 101)
    assert decompress(packed) == b'0' * 101
    monkeypatch.setattr(decoding, 'MAX_DECOMPRESSED_BYTES', 100)
    with pytest.raises(MalformedMessageError, match='over 100 bytes'):
        decompress(packed)


@pytest.mark.parametrize(
    ('text', 'number'),
    [
        (b'0', 0),
        (b'007', 7),
        (b'9' * 19, 10**19 - 1),
        (b'9' * 20, None),
        (b'9' * 5000, None),
        (b'', None),
        (b'-1', None),
        (b'1_0', None),
        (b' 1', None),
        ('\u0661'.encode(), None),
        ('\u00b2'.encode(), None),
    ],
)
def test_only_some_ascii_digits_are_a_whole_number(text, number):
    assert find_whole_number(text) == number
