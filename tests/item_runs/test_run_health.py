"""Tests of the ranking of upstreams by how runs of items end there."""

import random

import pytest

from briarrill.coordination.ejection import (
    ERRORS_TO_EJECT,
    FAILURES_TO_EJECT,
)
from briarrill.item_runs.item import RunEnd
from briarrill.item_runs.run_health import RunHealth

FREE = {'i-0': 4, 'i-1': 3}


@pytest.fixture
def health():
    return RunHealth(random.Random(1))


def _choose(health, free):
    """Return the upstream with the most free slots."""
    chosen = health.without_failing(free)
    return max(chosen, key=chosen.get)


@pytest.mark.parametrize(
    ('end', 'expected'),
    [
        (RunEnd.CUT, FAILURES_TO_EJECT),
        (RunEnd.FAILED, ERRORS_TO_EJECT),
        (RunEnd.UNEXPECTED, ERRORS_TO_EJECT),
    ],
)
def test_upstream_that_ends_runs_early_draws_no_items(health, end, expected):
    """Guards against an upstream that looks idle since each run fails."""
    chosen = []
    for _ in range(20):
        upstream = _choose(health, FREE)
        chosen.append(upstream)
        health.record_end(
            upstream, end if upstream == 'i-0' else RunEnd.COMPLETED
        )
    assert chosen.count('i-0') == expected


def test_failing_upstream_is_chosen_if_no_other_has_a_free_slot(health):
    """Guards against items that wait beside its free slots."""
    for _ in range(FAILURES_TO_EJECT):
        health.record_end('i-0', RunEnd.CUT)
    assert _choose(health, FREE) == 'i-1'
    assert _choose(health, {'i-0': 4, 'i-1': 0}) == 'i-0'


def test_preempted_and_rejected_runs_speak_against_no_upstream(health):
    for _ in range(FAILURES_TO_EJECT):
        health.record_end('i-0', RunEnd.PREEMPTED)
        health.record_end('i-0', RunEnd.REFUSED)
    assert _choose(health, FREE) == 'i-0'
