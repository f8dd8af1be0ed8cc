"""Compressed bodies, also such as unpack to far more than was received."""

import gzip
import random
import zlib

import pytest

from briarrill.errors import MalformedMessageError
from briarrill.transport.unpacking import MAX_PART_BYTES, Unpacker

BODY = random.Random(7).randbytes(200_000) + bytes(300_000)


def _pack_without_header(body):
    packer = zlib.compressobj(wbits=-zlib.MAX_WBITS)
    return packer.compress(body) + packer.flush()


@pytest.mark.parametrize('size', [1, 1000, 1_000_000])
@pytest.mark.parametrize(
    ('encoding', 'pack'),
    [
        ('gzip', gzip.compress),
        ('X-GZIP', gzip.compress),
        ('deflate', zlib.compress),
        ('deflate', _pack_without_header),
        ('', bytes),
        ('identity', bytes),
        ('br', bytes),
    ],
)
def test_body_is_unpacked_whole(encoding, pack, size):
    packed = pack(BODY)
    unpacker = Unpacker(encoding)
    parts = [
        part
        for start in range(0, len(packed), size)
        for part in unpacker.unpack(packed[start : start + size])
    ]
    assert b''.join(parts) == BODY


@pytest.mark.parametrize(
    ('encoding', 'pack'), [('gzip', gzip.compress), ('deflate', zlib.compress)]
)
def test_parts_are_small_however_much_is_packed(encoding, pack):
    parts = list(Unpacker(encoding).unpack(pack(bytes(10_000_000))))
    assert sum(map(len, parts)) == 10_000_000
    assert max(map(len, parts)) <= MAX_PART_BYTES


@pytest.mark.parametrize('encoding', ['gzip', 'deflate'])
def test_bytes_that_are_not_packed_are_malformed(encoding):
    with pytest.raises(MalformedMessageError):
        list(Unpacker(encoding).unpack(b'\xff' * 100))


def test_damaged_body_is_malformed():
    packed = bytearray(gzip.compress(BODY))
    packed[-6] ^= 1
    with pytest.raises(MalformedMessageError):
        list(Unpacker('gzip').unpack(bytes(packed)))
