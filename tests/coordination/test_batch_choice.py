"""Tests of the choice of jobs, replaying batch work that does not fit."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bench.batch_choice import LOADS
from bench.batch_model import ORDERS, make_jobs, replay_jobs
from briarrill.coordination.batch_choice import (
    PLANNED_SHARE,
    JobWork,
    PlaceEstimate,
    choose_timely_jobs,
)
from briarrill.coordination.batch_order import PREEMPTION_FACTOR


def _replay(load, order):
    """Return slot time in time, items in time and whole jobs of two seeds."""
    counts = [
        replay_jobs(LOADS[load], make_jobs(LOADS[load], seed), ORDERS[order])
        for seed in (0, 1)
    ]
    return tuple(map(sum, zip(*counts, strict=True)))


@pytest.mark.parametrize('load', ['twice', 'thrice'])
def test_more_whole_jobs_are_in_time_when_work_does_not_fit(load):
    """The same slot time serves more callers if jobs are not mixed."""
    slot_s, _, jobs = _replay(load, 'chosen jobs')
    slot_s_before, _, jobs_before = _replay(load, 'due time of items')
    assert jobs > 1.5 * jobs_before
    assert slot_s > 0.95 * slot_s_before
    for baseline in ('first come', 'random'):
        baseline_slot_s, items, baseline_jobs = _replay(load, baseline)
        assert jobs > baseline_jobs
        assert slot_s > baseline_slot_s


def test_all_items_are_in_time_when_work_fits():
    asked = sum(
        len(job.items)
        for seed in (0, 1)
        for job in make_jobs(LOADS['fits'], seed)
    )
    _, items, _ = _replay('fits', 'chosen jobs')
    assert items == asked


_JOBS = st.lists(
    st.tuples(st.floats(-5, 30), st.floats(0.1, 50), st.floats(0.1, 10)),
    max_size=20,
)


@given(_JOBS, st.floats(0, 40))
def test_chosen_jobs_fit_before_each_of_their_due_times(parts, places):
    jobs = [
        JobWork(str(number), *fields) for number, fields in enumerate(parts)
    ]
    chosen = choose_timely_jobs(jobs, places)
    work_s = 0.0
    for job in sorted(jobs, key=lambda one: one.due_in_s):
        if job.job_id in chosen:
            work_s += job.remaining_s
            assert work_s <= places * job.due_in_s * 1.001
            assert job.longest_item_s * PREEMPTION_FACTOR <= job.due_in_s


@given(st.lists(st.floats(0.1, 50), max_size=20), st.floats(0, 100))
def test_as_many_jobs_as_fit_are_chosen_at_one_due_time(works, places):
    jobs = [
        JobWork(str(number), 18, work_s, 1)
        for number, work_s in enumerate(works)
    ]
    fitting, total_s = 0, 0.0
    for work_s in sorted(works):
        total_s += work_s
        fitting += total_s < PLANNED_SHARE * places * 18 * 0.999
    assert len(choose_timely_jobs(jobs, places)) >= fitting


def test_mean_places_cover_a_cycle_of_peaks():
    estimate = PlaceEstimate()
    estimate.add(20, 100.0)
    assert estimate.mean == 20
    for step in range(1, 400):
        estimate.add(40 if step % 52 < 30 else 10, 100 + step / 10)
    assert 20 < estimate.mean < 34
