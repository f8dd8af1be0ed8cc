"""Which responses of upstreams belong to which requests."""

from briarrill.coordination.response_matching import (
    MAX_INCARNATIONS,
    Match,
    ResponseMatcher,
    look_alike,
)
from briarrill.transport.http_messages import ResponseHead


def test_response_without_identifier_is_doubtful_where_others_have_one():
    matcher = ResponseMatcher()
    assert matcher.match('r1', 'r1', 'i', is_kept=False) is Match.OWN
    assert matcher.may_keep_connections('i')
    assert matcher.match('r2', 'r1', 'i', is_kept=True) is Match.OTHER
    assert matcher.match('r2', None, 'i', is_kept=True) is Match.UNKNOWN
    assert not matcher.may_keep_connections('i')
    assert matcher.match('r3', None, 'i', is_kept=False) is Match.OWN
    assert matcher.may_keep_connections('another')


def test_upstream_that_echoes_nothing_is_believed_on_new_connections_only():
    matcher = ResponseMatcher()
    assert matcher.match('r1', None, 'i', is_kept=False) is Match.OWN
    assert not matcher.may_keep_connections('i')


def test_response_that_looks_like_a_reply_is_doubtful():
    matcher = ResponseMatcher()
    for _ in range(2):
        found = matcher.match(
            'r1', None, 'i', is_kept=True, is_like_reply=True
        )
        assert found is Match.UNKNOWN
    # a copy of a reply says nothing of the responses to calls
    assert matcher.may_keep_connections('i')
    found = matcher.match('r1', 'r1', 'i', is_kept=True, is_like_reply=True)
    assert found is Match.OWN


def test_replies_look_alike_whenever_they_were_made():
    length, date, kind = b'content-length', b'date', b'content-type'
    reply = ResponseHead(200, ((length, b'9'), (date, b'1'), (kind, b'j')))
    later = ResponseHead(200, ((kind, b'j'), (date, b'2'), (length, b'8')))
    assert look_alike(reply, later)
    stream = ResponseHead(200, ((length, b'9'), (date, b'1'), (kind, b's')))
    assert not look_alike(reply, stream)
    assert not look_alike(reply, ResponseHead(404, reply.headers))
    assert not look_alike(reply, reply.without_length())


def test_memory_is_bounded():
    matcher = ResponseMatcher()
    for number in range(MAX_INCARNATIONS + 9):
        matcher.match('r', None, f'i-{number}', is_kept=False)
    assert len(matcher._echoes) == MAX_INCARNATIONS
    assert not matcher.may_keep_connections(f'i-{number}')
