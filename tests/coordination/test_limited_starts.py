"""Tests of waits that are weighed while upstreams have request limits."""

import attrs
import pytest

from briarrill.coordination import grants, request_limits
from briarrill.coordination.limited_starts import plan_start
from briarrill.coordination.placement import UpstreamCandidate
from tests.coordination import limit_replay
from tests.coordination.limit_replay import Load, Replay

SEEDS = range(3)

FEW = Load()
MANY = Load(
    entries=40,
    upstreams=12,
    limited=8,
    report_interval_s=0.3,
    rates=(21.0, 102.0),
)

# what the users allow of a limit over the window, in requests
ALLOWED = 1.5 * FEW.limit_per_s * limit_replay.WINDOW_S + 5

QUEUED = UpstreamCandidate('free', 8, 14, 0)


@pytest.fixture
def clock(monkeypatch):
    class Clock:
        now = 100.0

        @classmethod
        def monotonic(cls):
            return cls.now

    for module in (grants, request_limits):
        monkeypatch.setattr(module, 'time', Clock)
    return Clock


def limited(blocked_s):
    """Return an idle upstream with a limit."""
    return UpstreamCandidate(
        'limited', 8, 0, 0, blocked_s=blocked_s, is_limited=True
    )


def plan(chosen, *others, **fields):
    """Return the plan for a request whose slot is held for 0.7 s."""
    named = {'time_left_s': 5.0, 'skips_limited': False, **fields}
    return plan_start(
        chosen,
        (chosen, *others),
        service_time_s=0.7,
        latency_objective_s=0.3,
        **named,
    )


@pytest.mark.parametrize('load', [FEW, MANY], ids=['3 entries', '40 entries'])
def test_peaks_beside_limits_do_not_make_whole_queues_late(clock, load):
    """Half of all requests started late in the queues of free upstreams."""
    outcomes = [Replay(load, clock, seed).run() for seed in SEEDS]
    requests = sum(one.requests for one in outcomes)
    assert sum(one.on_time for one in outcomes) > 0.6 * requests
    assert sum(one.late for one in outcomes) < 0.2 * requests
    assert sum(one.lost for one in outcomes) < 0.02 * requests
    assert max(one.most for one in outcomes) <= ALLOWED


def test_rejected_requests_start_on_time_when_repeated(clock):
    outcome = Replay(FEW, clock, 1).run()
    assert outcome.on_time_again > 0.6 * outcome.rejected
    assert outcome.lost == 0


def test_load_below_the_limits_is_never_rejected(clock):
    load = attrs.evolve(FEW, rates=(10.5, 20.0))
    outcome = Replay(load, clock, 1).run()
    assert (outcome.rejected, outcome.lost) == (0, 0)
    assert outcome.on_time > 0.97 * outcome.requests


def test_request_waits_for_a_place_that_comes_before_a_slot():
    soon = limited(0.1)
    planned = plan(QUEUED, limited(0.5), soon)
    assert planned.candidate is soon
    assert planned.permit_wait_s == pytest.approx(0.12)
    assert planned.retry_after_s is None


def test_request_waits_for_no_place_at_a_suspected_upstream():
    """It may not answer at all."""
    silent = attrs.evolve(limited(0), name='silent', is_suspect=True)
    sound = limited(0.1)
    assert plan(QUEUED, silent, sound).candidate is sound
    assert plan(QUEUED, silent).candidate is QUEUED
    assert plan(QUEUED, silent, time_left_s=4.9).candidate is QUEUED


def test_request_that_would_start_late_anywhere_is_rejected():
    planned = plan(QUEUED, limited(0.3))
    # seven turns of a slot, and one and a half for those that run then
    assert planned.retry_after_s == pytest.approx(7 * 0.7 / 8 + 1.5 * 0.7)
    assert plan(QUEUED, limited(0.1), skips_limited=True).retry_after_s


def test_request_that_can_not_be_repeated_in_time_queues():
    assert plan(QUEUED, limited(0.3), time_left_s=4.9).candidate is QUEUED
    planned = plan(QUEUED, limited(0.3), time_left_s=4.9)
    assert planned.retry_after_s is None


def test_short_queue_is_preferred_to_a_wait_for_a_place():
    queued = UpstreamCandidate('free', 8, 8, 0)
    planned = plan(queued, limited(0.05))
    assert planned.candidate is queued
    assert planned.retry_after_s is None


def test_queues_stay_in_use_while_no_upstream_has_a_limit():
    other = attrs.evolve(QUEUED, name='other')
    assert plan(QUEUED, other).retry_after_s is None


def test_batch_items_in_the_slots_reject_no_request():
    upstream = UpstreamCandidate('free', 8, 3, 5)
    assert plan(upstream, limited(0.3)).retry_after_s is None
