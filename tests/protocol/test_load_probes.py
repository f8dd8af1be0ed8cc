"""Tests of the datagrams that ask for the load of an upstream."""

import pytest

from briarrill.errors import MalformedMessageError
from briarrill.protocol.load_probes import (
    LoadProbe,
    ProbeReply,
    decode_probe,
    encode_probe,
    is_probe,
)
from briarrill.protocol.load_reports import LoadReport, encode_report


@pytest.mark.parametrize(
    'message', [LoadProbe(7, 'i-1'), ProbeReply(7, 'i-1', 3, 4)]
)
def test_probes_and_replies_are_told_from_reports(message):
    raw = encode_probe(message)
    assert is_probe(raw)
    assert decode_probe(raw) == message
    assert not is_probe(encode_report(LoadReport('a', 'host-a', 1, 1)))


@pytest.mark.parametrize(
    'raw',
    [
        b'\x00',
        b'\x00\xff',
        encode_probe(LoadProbe(7, 'i-1'))[:-1],
        encode_probe(LoadProbe('seven', 'i-1')),
        encode_probe(LoadProbe(7, 8)),
    ],
)
def test_malformed_probe_is_rejected(raw):
    with pytest.raises(MalformedMessageError):
        decode_probe(raw)
