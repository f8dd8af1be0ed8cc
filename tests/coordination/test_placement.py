"""Tests of placement, batch slot sharing and batch order.

Upstreams have free slots, are full of batch items, or are full of online
requests.
"""

import collections
import itertools
import random

import pytest

from bench.placement import FLEETS, late_share
from briarrill.coordination.batch_order import urgency_key
from briarrill.coordination.batch_shares import (
    count_items_to_preempt,
    count_startable_items,
    is_preferred_runner,
    is_upstream_owner,
    own_upstreams,
)
from briarrill.coordination.placement import (
    UpstreamCandidate,
    choose_candidate,
    estimate_unreported,
    expected_wait_s,
)
from briarrill.state.rendezvous import rank_nodes

RNG = random.Random(1)


def test_placement_prefers_a_free_slot_to_preemption():
    candidates = [
        UpstreamCandidate('few-online', 8, 1, 7),
        UpstreamCandidate('free', 8, 6, 1),
    ]
    assert choose_candidate(candidates, RNG, 0.1, 0.3).name == 'free'


def test_placement_on_full_upstreams_prefers_preemptible_batch():
    candidates = [
        UpstreamCandidate('online', 8, 8, 0),
        UpstreamCandidate('batch', 8, 2, 6),
    ]
    assert choose_candidate(candidates, RNG, 0.1, 0.3).name == 'batch'


def test_placement_prefers_own_failure_domain_at_equal_load():
    near = UpstreamCandidate('near', 8, 3, 0, is_local=True)
    assert (
        choose_candidate(
            [near, UpstreamCandidate('far', 8, 3, 0)], RNG, 0.1, 0.3
        ).name
        == 'near'
    )
    busy = UpstreamCandidate('near', 8, 5, 0, is_local=True)
    assert (
        choose_candidate(
            [busy, UpstreamCandidate('far', 8, 3, 0)], RNG, 0.1, 0.3
        ).name
        == 'far'
    )


def test_each_upstream_is_owned_by_one_process():
    processes = tuple('abc')
    upstreams = tuple(f'i-{number}' for number in range(8))
    owned = [own_upstreams(name, processes, upstreams) for name in processes]
    assert sorted(itertools.chain(*owned)) == sorted(upstreams)
    assert {len(own) for own in owned} == {2, 3}


def test_placement_spreads_a_peak_over_all_upstreams():
    """Places 40 online requests on six upstreams full of batch items."""
    load = collections.Counter()
    batch = collections.Counter({name: 8 for name in 'abcdef'})
    for _ in range(40):
        candidates = [
            UpstreamCandidate(name, 8, load[name], batch[name])
            for name in batch
        ]
        name = choose_candidate(candidates, RNG, 0.1, 0.3).name
        load[name] += 1
        batch[name] -= count_items_to_preempt(
            8, load[name], {'a': batch[name]}, 'a'
        )
    assert max(load.values()) == 7
    assert all(load[name] + batch[name] == 8 for name in batch)


def test_expected_wait_ignores_batch_items():
    assert expected_wait_s(UpstreamCandidate('a', 8, 7, 8), 1) == 0
    assert expected_wait_s(UpstreamCandidate('a', 8, 15, 0), 1) == 1


def test_batch_items_fill_free_slots_and_the_excess_is_preempted():
    assert count_startable_items(8, 0, 0) == 7
    assert count_startable_items(8, 8, 0) == 0
    assert count_items_to_preempt(8, 5, {'a': 3}, 'a') == 0
    assert count_items_to_preempt(8, 6, {'a': 3}, 'a') == 1
    assert count_items_to_preempt(8, 20, {'a': 3}, 'a') == 3


def test_items_run_at_upstreams_with_one_slot():
    """Guards against a reserved slot that is the only one."""
    assert count_startable_items(1, 0, 0) == 1
    assert count_startable_items(1, 1, 0) == 0
    assert count_startable_items(1, 0, 1) == 0


def test_processes_sharing_an_upstream_preempt_only_the_excess():
    """Two processes run items where ownership has just changed."""
    batch = {'a': 4, 'b': 1, 'c': 2}
    for online, expected in (
        (1, {'a': 0, 'b': 0, 'c': 0}),
        (4, {'a': 3, 'b': 0, 'c': 0}),
        (6, {'a': 4, 'b': 1, 'c': 0}),
        (9, {'a': 4, 'b': 1, 'c': 2}),
    ):
        preempted = {
            name: count_items_to_preempt(8, online, batch, name)
            for name in batch
        }
        assert preempted == expected


def test_each_upstream_has_one_owner():
    upstreams = [f'i-{number}' for number in range(7)]
    processes = ['c', 'a', 'b']
    owners = [
        [
            name
            for name in processes
            if is_upstream_owner(name, upstream_id, processes, upstreams)
        ]
        for upstream_id in upstreams
    ]
    assert all(len(names) == 1 for names in owners)
    counts = collections.Counter(names[0] for names in owners)
    assert max(counts.values()) - min(counts.values()) <= 1


def test_duplicate_item_is_kept_by_exactly_one_process():
    processes = ['a', 'b', 'c']
    for number in range(20):
        job_id = f'job-{number}'
        assigned = rank_nodes(job_id, processes)[0]
        for competing_processes in (['a', 'b'], ['b', 'c'], ['a', 'b', 'c']):
            keepers = [
                name
                for name in competing_processes
                if is_preferred_runner(
                    name,
                    [other for other in competing_processes if other != name],
                    processes,
                    job_id,
                    'item',
                )
            ]
            assert len(keepers) == 1
            assert assigned not in competing_processes or keepers == [assigned]


def test_urgency_sorts_items_that_can_meet_their_due_time_first():
    """Earliest due first alone would start with an item that must be late."""
    overdue = urgency_key(due_in_s=2, remaining_s=5)
    tight = urgency_key(due_in_s=7, remaining_s=5)
    ample = urgency_key(due_in_s=17, remaining_s=5)
    nearly_done = urgency_key(due_in_s=-1, remaining_s=1)
    assert sorted([overdue, ample, nearly_done, tight]) == [
        tight,
        ample,
        nearly_done,
        overdue,
    ]


@pytest.mark.parametrize(
    ('fleet', 'most'), [('5 entries', 1.0), ('58 entries', 0.5)]
)
def test_peak_is_spread_although_the_reports_of_many_entries_are_old(
    fleet, most
):
    """Each entry alone would choose the upstream with the lowest load."""
    share = late_share(FLEETS[fleet], 'placement')
    for baseline in ('lowest load', 'shortest queue'):
        assert share <= most * late_share(FLEETS[fleet], baseline)
    assert share < late_share(FLEETS[fleet], 'random')


def test_fewer_upstreams_are_compared_the_more_requests_are_unreported():
    candidates = [
        UpstreamCandidate(str(number), 8, number, 0) for number in range(8)
    ]
    chosen = collections.Counter(
        choose_candidate(candidates, RNG, 0.1, 0.3, unreported=50).name
        for _ in range(1000)
    )
    assert 200 < chosen['0'] < 300
    assert choose_candidate(candidates, RNG, 0.1, 0.3).name == '0'
    assert estimate_unreported(140, 0.15, 0.7) == pytest.approx(30)
    assert estimate_unreported(20, 0.1, 0) == 20
