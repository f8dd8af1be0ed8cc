"""Tests of item order: contract shares, deadlines, limits and retries."""

import collections
import time

import attrs
import pytest

from briarrill.batch.item_queue import (
    FIRST_RETRY_BACKOFF_S,
    SAME_SIDECAR_EXTRA_DELAY_S,
    ItemQueue,
)
from briarrill.batch.item_sources import ItemSource, ItemSources
from briarrill.protocol.messages import BatchItem
from briarrill.state.contracts import Contract

MODELS = ('drafter',)
DEFAULT_CONTRACT = Contract(api_key_sha256=())


def _item(job='j', index=0, contract='a', model='drafter', attempt=0):
    return BatchItem(
        job=job,
        index=index,
        epoch=1,
        contract=contract,
        model=model,
        url='',
        body=b'',
        attempt=attempt,
    )


class _CountedItems(ItemSource):
    """A job that supplies a given number of items."""

    def __init__(self, job, contract, due_at, count=1000):
        self.job = job
        self.contract = contract
        self.due_at = due_at
        self.remaining = count

    def next_item(self, models, sidecar):
        if not self.remaining:
            return None
        self.remaining -= 1
        return _item(self.job, self.remaining, self.contract)

    def requeue_lost(self, batch_item):
        raise NotImplementedError

    def record_outcome(self, outcome, sidecar):
        raise NotImplementedError


def _next_items(sources, count):
    chosen = [sources.next_item(MODELS, 's') for _ in range(count)]
    return [batch_item for batch_item in chosen if batch_item]


def test_contracts_with_different_shares_get_proportional_items():
    contracts = {
        'a': attrs.evolve(DEFAULT_CONTRACT, batch_share=3.0),
        'b': attrs.evolve(DEFAULT_CONTRACT, batch_share=1.0),
    }
    sources = ItemSources(contracts.get)
    sources.add(_CountedItems('x', 'a', due_at=9))
    sources.add(_CountedItems('y', 'b', due_at=1))
    chosen = _next_items(sources, 40)
    counts = collections.Counter(batch_item.contract for batch_item in chosen)
    assert counts == {'a': 30, 'b': 10}


def test_contract_with_more_jobs_gets_no_larger_share():
    sources = ItemSources({'a': DEFAULT_CONTRACT, 'b': DEFAULT_CONTRACT}.get)
    for number in range(9):
        sources.add(_CountedItems(f'x{number}', 'a', due_at=number))
    sources.add(_CountedItems('y', 'b', due_at=99))
    chosen = _next_items(sources, 40)
    counts = collections.Counter(batch_item.contract for batch_item in chosen)
    assert counts == {'a': 20, 'b': 20}


def test_jobs_of_one_contract_run_by_earliest_deadline():
    sources = ItemSources({'a': DEFAULT_CONTRACT}.get)
    sources.add(_CountedItems('late', 'a', due_at=2))
    sources.add(_CountedItems('early', 'a', due_at=1, count=5))
    assert {batch_item.job for batch_item in _next_items(sources, 5)} == {
        'early'
    }
    assert {batch_item.job for batch_item in _next_items(sources, 3)} == {
        'late'
    }


def test_contract_at_in_flight_limit_gets_no_item():
    limited = attrs.evolve(DEFAULT_CONTRACT, batch_items_in_flight=7)
    sources = ItemSources({'a': limited}.get)
    sources.add(_CountedItems('x', 'a', due_at=1))
    chosen = _next_items(sources, 20)
    assert len(chosen) == 7
    sources.remove_in_flight(chosen[0])
    assert len(_next_items(sources, 20)) == 1


def test_failed_item_waits_for_backoff_and_longer_on_same_sidecar(monkeypatch):
    now = 100.0
    monkeypatch.setattr(time, 'monotonic', lambda: now)
    queue = ItemQueue()
    queue.add_retry(_item(attempt=1), failed_sidecar='s')
    assert queue.pop(MODELS, 'other') is None
    now += FIRST_RETRY_BACKOFF_S
    assert queue.pop(MODELS, 's') is None
    assert queue.pop(MODELS, 'other') == _item(attempt=1)
    queue.add_retry(_item(attempt=2), failed_sidecar='s')
    now += 2 * FIRST_RETRY_BACKOFF_S + SAME_SIDECAR_EXTRA_DELAY_S
    assert queue.pop(MODELS, 's') == _item(attempt=2)


@pytest.mark.parametrize('first', ['drafter', 'other'])
def test_queue_pops_item_of_requested_model_behind_other_model(first):
    second = 'other' if first == 'drafter' else 'drafter'
    queue = ItemQueue()
    queue.add(_item(model=first))
    queue.add(_item(index=1, model=second))
    assert queue.pop((second,), 's').index == 1
    assert queue.pop((second,), 's') is None
    assert len(queue) == 1
