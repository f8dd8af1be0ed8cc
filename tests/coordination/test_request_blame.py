"""Tests of the choice of requests that explain the ends of upstreams."""

from hypothesis import given
from hypothesis import strategies as st

from briarrill.coordination.request_blame import requests_at_fault


def test_request_in_flight_at_three_ends_is_at_fault():
    crashes = {1: {'bad', 'a'}, 2: {'bad', 'b'}, 3: {'bad'}}
    assert requests_at_fault(crashes) == ['bad']


def test_two_ends_accuse_nobody():
    assert requests_at_fault({1: {'bad'}, 2: {'bad'}}) == []


def test_request_in_flight_at_each_end_of_another_is_not_told_from_it():
    crashes = dict.fromkeys(range(5), {'bad', 'sound'})
    assert requests_at_fault(crashes) == []


def test_one_end_without_it_clears_the_other_request():
    crashes = {1: {'bad', 'sound'}, 2: {'bad', 'sound'}, 3: {'bad', 'sound'}}
    assert requests_at_fault({**crashes, 4: {'bad'}}) == ['bad']


def test_several_requests_at_fault_are_found_at_once():
    crashes = {
        **dict.fromkeys(range(3), {'one', 'sound'}),
        **dict.fromkeys(range(3, 7), {'two', 'sound'}),
    }
    crashes[0] = {'one'}
    crashes[3] = {'two'}
    assert set(requests_at_fault(crashes)) == {'one', 'two'}


def test_contested_request_does_not_shield_another_one():
    crashes = {
        **dict.fromkeys(range(4), {'twin', 'other-twin'}),
        **dict.fromkeys(range(4, 7), {'bad'}),
    }
    assert requests_at_fault(crashes) == ['bad']


@given(
    st.lists(
        st.sets(st.sampled_from('abcde'), max_size=3), min_size=3, max_size=12
    )
)
def test_lone_request_in_each_end_is_the_only_one_at_fault(others):
    crashes = {number: {'bad', *sound} for number, sound in enumerate(others)}
    shared = set.intersection(*map(set, others))
    expected = [] if shared else ['bad']
    assert requests_at_fault(crashes) == expected
