"""Tests of suspecting prompt parts before a decision."""

from hypothesis import given
from hypothesis import strategies as st

from briarrill.coordination.part_blame import (
    MIN_CRASHES_OF_FIRST_PART,
    blame_parts,
    parts_explained_better,
)
from briarrill.coordination.request_blame import (
    MIN_CRASHES,
    MIN_SUSPECT_CRASHES,
)

BAD, SOUND, FIRST, OTHER_FIRST = 1, 2, 3, 4


def _blame(ends, *first_parts):
    return blame_parts(
        {part: set(under) for part, under in ends.items()}, set(first_parts)
    )


def test_part_is_suspected_from_the_second_end_and_held_from_the_third():
    assert not _blame({BAD: [1]}).suspects
    assert _blame({BAD: [1, 2]}).suspects == {BAD}
    assert not _blame({BAD: [1, 2]}).held
    assert _blame({BAD: [1, 2, 3]}).held == {BAD}


def test_parts_with_the_same_ends_go_on_for_one_more():
    same = {BAD: [1, 2, 3], SOUND: [1, 2, 3]}
    assert _blame(same).suspects == {BAD, SOUND}
    assert not _blame(same).held
    # they share all prompts
    same = {BAD: [1, 2, 3, 4], SOUND: [1, 2, 3, 4]}
    assert _blame(same).held == {BAD, SOUND}


def test_part_that_another_explains_better_is_not_held():
    blame = _blame({BAD: [1, 2, 3, 4, 5], SOUND: [1, 2, 3, 4]})
    assert blame.held == {BAD}
    assert blame.suspects == {BAD, SOUND}


def test_first_part_is_no_suspect_while_another_part_explains_its_ends():
    ends = {BAD: [1, 2, 3, 4, 5, 6], FIRST: [1, 2, 3, 4, 5]}
    blame = _blame(ends, FIRST)
    assert blame.suspects == blame.held == {BAD}


def test_first_part_at_fault_runs_one_at_a_time_and_is_held_from_the_fifth():
    ends = {FIRST: [1, 2, 3, 4], SOUND: [1, 2]}
    blame = _blame(ends, FIRST)
    assert blame.suspects == {FIRST, SOUND}
    assert not blame.held
    blame = _blame({**ends, FIRST: [1, 2, 3, 4, 5]}, FIRST)
    assert blame.held == {FIRST}


def test_part_that_a_first_part_explains_better_goes_on_for_one_more():
    ends = {FIRST: [1, 2, 3, 4, 5], SOUND: [1, 2, 3]}
    assert _blame(ends, FIRST).held == {FIRST}
    ends[SOUND].append(4)
    assert _blame(ends, FIRST).held == {FIRST, SOUND}


def test_parts_with_fewer_of_the_same_ends_are_explained_better():
    ends = {BAD: {1, 2, 3}, SOUND: {1, 2}, OTHER_FIRST: {3, 4}}
    assert parts_explained_better(ends) == {SOUND}


_ENDS = st.dictionaries(
    st.integers(1, 8), st.sets(st.integers(1, 8), min_size=1), max_size=8
)


@given(_ENDS, st.sets(st.integers(1, 8)))
def test_only_parts_with_enough_ends_are_suspected_or_held(ends, first_parts):
    blame = blame_parts(ends, first_parts)
    assert blame.held <= blame.suspects
    for part in blame.suspects:
        assert len(ends[part]) >= MIN_SUSPECT_CRASHES
    for part in blame.held:
        assert len(ends[part]) >= MIN_CRASHES
        if part in first_parts:
            assert len(ends[part]) >= MIN_CRASHES_OF_FIRST_PART


@given(_ENDS, st.sets(st.integers(1, 8)))
def test_part_at_more_ends_than_all_others_is_suspected_and_held(
    ends, first_parts
):
    ends = {**ends, 9: set(range(1, 11))}
    blame = blame_parts(ends, first_parts)
    assert 9 in blame.suspects
    assert 9 in blame.held
