"""Numbers in messages of peers that no computation can use."""

import math

import attrs
import msgspec
import pytest

from briarrill.errors import MalformedMessageError
from briarrill.protocol.limit_news import LimitNews, NamedLimit
from briarrill.protocol.load_probes import (
    ProbeReply,
    decode_probe,
    encode_probe,
)
from briarrill.protocol.load_reports import (
    LoadReport,
    decode_report,
    encode_report,
)
from briarrill.protocol.permits import (
    PermitReply,
    PermitRequest,
    decode_permit,
    encode_permit,
)

REPORT = LoadReport('p', '127.0.0.1', 1, 1)
REQUEST = PermitRequest(7, 'i-1/3', 2.5, 0.15, is_batch=True)
REPLY = PermitReply(7, is_granted=True, delay_s=0.4)


def _limit_news(rate_per_s, age_s):
    return LimitNews((NamedLimit('i-1/3', rate_per_s, age_s),))


@pytest.mark.parametrize(
    'fields',
    [
        {'delays': {'i': math.nan}},
        {'delays': {'i': math.inf}},
        {'delays': {'i': -1}},
        {'online': {'i': -1}},
        {'batch': {'i': -1}},
        {'revisions': {'k/': -1}},
        {'limit_news': _limit_news(math.nan, 0)},
        {'limit_news': _limit_news(math.inf, 0)},
        {'limit_news': _limit_news(1, math.nan)},
        {'limit_news': _limit_news(1, -1)},
        {'limit_news': LimitNews(granted={'i': -1})},
    ],
)
def test_report_with_an_unusable_number_is_malformed(fields):
    raw = encode_report(attrs.evolve(REPORT, **fields))
    with pytest.raises(MalformedMessageError):
        decode_report(raw)


@pytest.mark.parametrize('number', [math.nan, math.inf, -math.inf, -1.0])
def test_permit_with_an_unusable_number_is_malformed(number):
    for message in (
        attrs.evolve(REQUEST, rate_per_s=number),
        attrs.evolve(REPLY, delay_s=number),
    ):
        with pytest.raises(MalformedMessageError):
            decode_permit(encode_permit(message))


def test_permit_without_a_number_of_its_wait_is_malformed():
    raw = encode_permit(attrs.evolve(REQUEST, max_wait_s=math.nan))
    with pytest.raises(MalformedMessageError):
        decode_permit(raw)


@pytest.mark.parametrize('max_wait_s', [math.inf, -0.5, 0])
def test_permit_may_be_waited_for_without_limit_or_not_at_all(max_wait_s):
    request = attrs.evolve(REQUEST, max_wait_s=max_wait_s)
    assert decode_permit(encode_permit(request)) == request


@pytest.mark.parametrize('kind', [math.inf, math.nan, -1, 2, 'x'])
def test_permit_of_no_known_kind_is_malformed(kind):
    raw = b'\x01' + msgspec.msgpack.encode([kind, 7, True, 0.4])
    with pytest.raises(MalformedMessageError):
        decode_permit(raw)


def test_probe_reply_with_a_negative_count_is_malformed():
    with pytest.raises(MalformedMessageError):
        decode_probe(encode_probe(ProbeReply(7, 'i', -1, 0)))


def test_limit_that_ended_is_read():
    report = attrs.evolve(REPORT, limit_news=_limit_news(-1.0, 0.5))
    assert decode_report(encode_report(report)) == report
