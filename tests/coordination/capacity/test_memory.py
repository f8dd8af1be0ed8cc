"""Tests of placement by the memory of upstreams."""

import math

import pytest

from briarrill.coordination.capacity.memory import (
    MemoryUse,
    candidates_with_memory,
    count_items_to_yield,
    is_ample,
    needed_tokens,
    tokens_of_item,
)
from briarrill.coordination.capacity.work import UpstreamCapacity
from briarrill.coordination.placement import UpstreamCandidate


def _candidate(name, free, yielding=0):
    return UpstreamCandidate(
        name, 8, 0, 0, tokens_free=free, tokens_yielding=yielding
    )


def test_request_goes_where_it_fits():
    names = [
        one.name
        for one in candidates_with_memory(
            [_candidate('full', 100), _candidate('free', 6000)], 6000
        )
    ]
    assert names == ['free']


def test_items_yield_only_if_a_request_fits_nowhere_else():
    full = _candidate('full', 0)
    items = _candidate('items', -50, 7000)
    free = _candidate('free', 6000)
    assert candidates_with_memory([full, items, free], 6000) == [free]
    assert candidates_with_memory([full, items], 6000) == [items]
    assert candidates_with_memory([full, items], 7000) == []


def test_memory_without_limit_takes_all():
    assert MemoryUse(0, 10**9).free == math.inf
    unknown = UpstreamCandidate('unknown', 8, 0, 0)
    assert candidates_with_memory([unknown], 10**9) == [unknown]


def test_request_that_may_need_all_memory_needs_half_of_it():
    assert needed_tokens(12_600, 12_600) == 12_600
    assert needed_tokens(12_600, 12_601) == 6300
    assert needed_tokens(12_600, 10**9) == 6300
    assert needed_tokens(0, 10**9) == 10**9


def test_owner_is_asked_only_where_memory_may_be_short_before_slots():
    assert is_ample(UpstreamCapacity(8, 101_495), 6200)
    assert not is_ample(UpstreamCapacity(8, 12_600), 6200)
    assert is_ample(UpstreamCapacity(8, 0), 10**9)


def test_items_leave_memory_for_a_request_unless_alone():
    assert tokens_of_item(MemoryUse(8000, 1000, 5000), 8, 1000) == 1000
    assert tokens_of_item(MemoryUse(8000, 1000, 5000), 8, 1001) is None
    assert tokens_of_item(MemoryUse(8000), 8, 8000) == 8000


@pytest.mark.parametrize('tokens', [8001, 10**9])
def test_item_that_may_need_all_memory_counts_for_what_is_free(tokens):
    assert tokens_of_item(MemoryUse(8000), 8, tokens) == 8000
    assert tokens_of_item(MemoryUse(8000, 1000), 8, tokens) == 6000
    assert tokens_of_item(MemoryUse(8000, 2000, 1000), 8, tokens) == 4000
    assert tokens_of_item(MemoryUse(8000, 2000, 1001), 8, tokens) is None
    assert tokens_of_item(MemoryUse(8000, 9000), 8, tokens) is None
    assert tokens_of_item(MemoryUse(0, 9000), 8, tokens) == tokens


def test_items_yield_what_requests_lack():
    use = MemoryUse(8000, online=6000, batch=3500)
    assert use.excess == 1500
    assert count_items_to_yield(use.excess, [1000, 1000, 1500]) == 2
    assert count_items_to_yield(0, [1000]) == 0
    assert count_items_to_yield(9000, [1000, 1000]) == 2
