"""Tests of the choice of the processes that watch the service."""

import pytest

from briarrill.coordination.follower_choice import (
    FollowerCandidate,
    choose_follower,
)


def _candidates(count, domains=5):
    return [
        FollowerCandidate(
            name=f'p{number}',
            failure_domain=f'd{number % domains}',
            is_able=True,
            is_preferred=number % 3 == 0,
        )
        for number in range(count)
    ]


@pytest.mark.parametrize('count', [22, 88, 350, 1300])
def test_number_of_followers_does_not_grow_with_the_fleet(count):
    candidates = _candidates(count)
    followers = {
        choose_follower(candidate.failure_domain, candidates)
        for candidate in candidates
    }
    assert len(followers) == 5
    preferred = {one.name for one in candidates if one.is_preferred}
    assert followers <= preferred


def test_lost_follower_is_replaced_by_the_same_process_for_all():
    candidates = _candidates(88)
    first = choose_follower('d1', candidates)
    rest = [one for one in candidates if one.name != first]
    second = choose_follower('d1', rest)
    assert second not in {'', first}
    assert choose_follower('d1', reversed(rest)) == second
    assert choose_follower('d2', rest) == choose_follower('d2', candidates)


def test_process_that_does_not_reach_the_service_follows_no_keys():
    able = FollowerCandidate('a', 'd', is_able=True, is_preferred=False)
    unable = FollowerCandidate('b', 'd', is_able=False, is_preferred=True)
    assert choose_follower('d', [unable, able]) == 'a'
    assert choose_follower('d', [unable]) == ''
