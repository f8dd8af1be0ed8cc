"""Which responses of upstreams belong to which requests."""

from briarrill.coordination.response_matching import (
    MAX_INCARNATIONS,
    Match,
    ResponseMatcher,
)


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


def test_memory_is_bounded():
    matcher = ResponseMatcher()
    for number in range(MAX_INCARNATIONS + 9):
        matcher.match('r', None, f'i-{number}', is_kept=False)
    assert len(matcher._echoes) == MAX_INCARNATIONS
    assert not matcher.may_keep_connections(f'i-{number}')
