"""Tests of the datagrams that ask for permits."""

import pytest

from briarrill.errors import MalformedMessageError
from briarrill.protocol.load_probes import is_probe
from briarrill.protocol.permits import (
    PermitReply,
    PermitRequest,
    decode_permit,
    encode_permit,
    is_permit,
)

MESSAGES = (
    PermitRequest(7, 'i-1/3', 2.5, 0.15, is_batch=True),
    PermitReply(7, is_granted=False, delay_s=0.4),
)


@pytest.mark.parametrize('message', MESSAGES)
def test_message_is_decoded_as_it_was_encoded(message):
    raw = encode_permit(message)
    assert is_permit(raw)
    assert not is_probe(raw)
    assert decode_permit(raw) == message


@pytest.mark.parametrize('message', MESSAGES)
def test_cut_message_is_malformed(message):
    raw = encode_permit(message)
    while len(raw) > 1:
        raw = raw[:-1]
        with pytest.raises(MalformedMessageError):
            decode_permit(raw)


@pytest.mark.parametrize(
    'body', [b'', b'\x90', b'\x91\x07', b'\x91\xa1x', b'\x94\x01\xa1x\xc3\x00']
)
def test_other_bytes_are_malformed(body):
    with pytest.raises(MalformedMessageError):
        decode_permit(b'\x01' + body)
