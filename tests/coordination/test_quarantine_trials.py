"""Tests of items that are tried though their prompts are quarantined."""

import contextlib
import itertools
import types

import pytest

from briarrill.coordination.prompt_crashes import PromptQuarantine
from briarrill.coordination.quarantine_trials import (
    NEXT_RANK_DELAY_S,
    TRIAL_DELAY_S,
    TRIAL_PAUSE_S,
    QuarantineTrials,
)
from briarrill.errors import UpstreamLostError
from briarrill.protocol.load_reports import short_hash
from briarrill.protocol.prompt_news import PromptNews, UpstreamCrash

PARTS = ('first', 'own')

FIRST = short_hash('first')

STEP_S = 0.5

# items are to wait for less between two trials
MAX_PAUSE_S = 5.0


@pytest.fixture
def clock():
    fake = types.SimpleNamespace(now=100.0)
    return fake


@pytest.fixture
def quarantine(clock):
    return PromptQuarantine(lambda: clock.now)


@pytest.fixture
def make_trials(quarantine, clock):
    """Return a function that makes the trials of a process of some rank."""

    def make(ranks):
        return QuarantineTrials(
            quarantine, ranks.__getitem__, lambda: clock.now
        )

    return make


@pytest.fixture
def trials(quarantine, clock):
    return QuarantineTrials(quarantine, clock=lambda: clock.now)


def _quarantine_first(quarantine):
    quarantine.apply_news(PromptNews(quarantined={FIRST: 600}))


def _lose(trials, item_id):
    with (
        contextlib.suppress(UpstreamLostError),
        trials.running(PARTS, item_id),
    ):
        raise UpstreamLostError('ended')


def test_one_item_at_a_time_is_tried(quarantine, trials, clock):
    _quarantine_first(quarantine)
    assert not trials.may_run(PARTS, 'one')
    clock.now += TRIAL_DELAY_S
    assert trials.may_run(PARTS, 'one')
    with trials.running(PARTS, 'one'):
        assert trials.may_run(PARTS, 'one')
        assert not trials.may_run(PARTS, 'two')
    assert trials.may_run(PARTS, 'two')


def test_part_is_tried_at_a_pace_until_it_is_answered(
    quarantine, trials, clock
):
    """Guards against items that wait for the end of a quarantine.

    Trials are lost to upstreams that end for other reasons.
    """
    _quarantine_first(quarantine)
    tried_at = []
    for number in range(100):
        clock.now += STEP_S
        if trials.may_run(PARTS, f'item-{number}'):
            tried_at.append(clock.now)
            _lose(trials, f'item-{number}')
            assert not trials.may_run(PARTS, 'other')
    pauses = [later - sooner for sooner, later in itertools.pairwise(tried_at)]
    assert set(pauses) == {TRIAL_PAUSE_S}
    assert TRIAL_PAUSE_S < MAX_PAUSE_S
    assert clock.now - tried_at[-1] < TRIAL_PAUSE_S


def test_new_quarantine_has_trials_of_its_own(quarantine, trials, clock):
    _quarantine_first(quarantine)
    clock.now += TRIAL_DELAY_S
    _lose(trials, 'one')
    quarantine.record_answer(PARTS)
    clock.now += 100
    _quarantine_first(quarantine)
    assert not trials.may_run(PARTS, 'one')
    clock.now += TRIAL_DELAY_S
    assert trials.may_run(PARTS, 'one')


def test_one_process_after_the_other_tries_a_part(
    quarantine, make_trials, clock
):
    """Those that rank before may never have an item or room for it."""
    _quarantine_first(quarantine)
    ranks = range(4)
    processes = [make_trials({FIRST: rank}) for rank in ranks]
    clock.now += TRIAL_DELAY_S
    for rank in ranks:
        trying = [one.may_run(PARTS, 'one') for one in processes]
        assert trying == [other <= rank for other in ranks]
        clock.now += NEXT_RANK_DELAY_S


def test_prompt_with_parts_that_different_processes_try_is_tried(
    quarantine, make_trials, clock
):
    """Guards against a wait until both quarantines end by time."""
    for part in PARTS:
        quarantine.apply_news(PromptNews(quarantined={short_hash(part): 600}))
    first, own = map(short_hash, PARTS)
    processes = [
        make_trials(ranks)
        for ranks in ({first: 0, own: 1}, {first: 1, own: 0})
    ]
    clock.now += TRIAL_DELAY_S
    assert not any(one.may_run(PARTS, 'one') for one in processes)
    clock.now += NEXT_RANK_DELAY_S
    assert all(one.may_run(PARTS, 'one') for one in processes)


def test_prompt_that_awaits_a_decision_is_not_tried(quarantine, trials, clock):
    _quarantine_first(quarantine)
    clock.now += TRIAL_DELAY_S
    for number in range(4):
        quarantine.record_crash(
            UpstreamCrash(number, other_parts=(short_hash('suspect'),))
        )
    assert not trials.may_run(('first', 'suspect', 'own'), 'one')
    assert trials.may_run(PARTS, 'one')


def test_prompt_without_a_quarantined_part_is_no_trial(trials):
    assert not trials.may_run(PARTS, 'one')
    with trials.running(PARTS, 'one'):
        assert not trials._trials
