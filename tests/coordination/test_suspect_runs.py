"""Tests of where suspected requests are in flight."""

import pytest

from briarrill.coordination.suspect_runs import (
    MAX_REPORTED_RUNS,
    PEER_WORD_VALIDITY_S,
    SuspectRuns,
)

SUSPECT, OTHER_SUSPECT, SOUND = 1, 2, 3
UPSTREAM, OTHER_UPSTREAM = 10, 20


@pytest.fixture
def clock():
    return [100.0]


@pytest.fixture
def runs(clock):
    return SuspectRuns(lambda: clock[0], lambda: {SUSPECT, OTHER_SUSPECT})


def test_only_suspected_runs_are_told_to_peers(runs):
    with (
        runs.counted(UPSTREAM, SUSPECT),
        runs.counted(UPSTREAM, SOUND),
    ):
        assert runs.own_suspects == ((UPSTREAM, SUSPECT),)
    assert runs.own_suspects == ()


def test_request_that_is_in_flight_twice_ends_twice(runs):
    with runs.counted(UPSTREAM, SUSPECT):
        with runs.counted(UPSTREAM, SUSPECT):
            assert runs.is_in_flight(SUSPECT)
        assert runs.is_in_flight(SUSPECT)
    assert not runs.is_in_flight(SUSPECT)


def test_upstreams_of_other_suspects_are_known_from_here_and_from_peers(runs):
    runs.record_peer_runs([(OTHER_UPSTREAM, OTHER_SUSPECT)])
    with runs.counted(UPSTREAM, SOUND), runs.counted(UPSTREAM, SUSPECT):
        assert runs.upstreams_of_others(SUSPECT) == {OTHER_UPSTREAM}
        assert runs.upstreams_of_others(OTHER_SUSPECT) == {UPSTREAM}
    assert runs.is_in_flight(OTHER_SUSPECT)


def test_word_of_a_peer_that_is_not_repeated_ends(runs, clock):
    runs.record_peer_runs([(UPSTREAM, OTHER_SUSPECT)])
    clock[0] += PEER_WORD_VALIDITY_S
    assert not runs.is_in_flight(OTHER_SUSPECT)
    assert runs.upstreams_of_others(SUSPECT) == set()
    runs.record_peer_runs([])
    assert not runs._told_at


def test_number_of_reported_runs_is_bounded(runs):
    for upstream in range(3 * MAX_REPORTED_RUNS):
        runs._own[(upstream, SUSPECT)] += 1
    assert len(runs.own_suspects) == MAX_REPORTED_RUNS
