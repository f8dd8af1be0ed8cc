"""Whose item is next: shares, due times, bounds and repeats."""

import collections
import time

import attrs
import pytest

from briarrill.batch.item_queue import (
    FIRST_BACKOFF_S,
    OTHER_UPSTREAM_S,
    ItemQueue,
)
from briarrill.batch.item_sources import ItemSource, ItemSources
from briarrill.protocol.messages import BatchItem
from briarrill.state.contracts import Contract

MODELS = ('drafter',)
PLAIN = Contract(api_key_sha256=())


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


class _Job(ItemSource):
    def __init__(self, job, contract, due_at, count=1000):
        self.job = job
        self.contract = contract
        self.due_at = due_at
        self.left = count

    def next_item(self, models, sidecar):
        if not self.left:
            return None
        self.left -= 1
        return _item(self.job, self.left, self.contract)

    def take_back(self, batch_item):
        raise NotImplementedError

    def take_outcome(self, outcome, sidecar):
        raise NotImplementedError


def _take(sources, count):
    chosen = [sources.next_item(MODELS, 's') for _ in range(count)]
    return [batch_item for batch_item in chosen if batch_item]


def test_contracts_share_by_weight():
    weights = {
        'a': attrs.evolve(PLAIN, batch_share=3.0),
        'b': attrs.evolve(PLAIN, batch_share=1.0),
    }
    sources = ItemSources(weights.get)
    sources.add(_Job('x', 'a', due_at=9))
    sources.add(_Job('y', 'b', due_at=1))
    chosen = _take(sources, 40)
    counts = collections.Counter(row.contract for row in chosen)
    assert counts == {'a': 30, 'b': 10}


def test_many_jobs_do_not_enlarge_a_share():
    sources = ItemSources({'a': PLAIN, 'b': PLAIN}.get)
    for number in range(9):
        sources.add(_Job(f'x{number}', 'a', due_at=number))
    sources.add(_Job('y', 'b', due_at=99))
    chosen = _take(sources, 40)
    counts = collections.Counter(row.contract for row in chosen)
    assert counts == {'a': 20, 'b': 20}


def test_job_that_is_due_first_goes_first():
    sources = ItemSources({'a': PLAIN}.get)
    sources.add(_Job('late', 'a', due_at=2))
    sources.add(_Job('early', 'a', due_at=1, count=5))
    assert {row.job for row in _take(sources, 5)} == {'early'}
    assert {row.job for row in _take(sources, 3)} == {'late'}


def test_items_in_flight_of_a_contract_are_bounded():
    limited = attrs.evolve(PLAIN, batch_items_in_flight=7)
    sources = ItemSources({'a': limited}.get)
    sources.add(_Job('x', 'a', due_at=1))
    chosen = _take(sources, 20)
    assert len(chosen) == 7
    sources.leave(chosen[0])
    assert len(_take(sources, 20)) == 1


def test_failed_item_waits_and_prefers_another_upstream(monkeypatch):
    now = 100.0
    monkeypatch.setattr(time, 'monotonic', lambda: now)
    queue = ItemQueue()
    queue.add_retry(_item(attempt=1), failed_at='s')
    assert queue.pop(MODELS, 'other') is None
    now += FIRST_BACKOFF_S
    assert queue.pop(MODELS, 's') is None
    assert queue.pop(MODELS, 'other') == _item(attempt=1)
    queue.add_retry(_item(attempt=2), failed_at='s')
    now += 2 * FIRST_BACKOFF_S + OTHER_UPSTREAM_S
    assert queue.pop(MODELS, 's') == _item(attempt=2)


@pytest.mark.parametrize('first', ['drafter', 'other'])
def test_one_model_does_not_hold_up_another(first):
    second = 'other' if first == 'drafter' else 'drafter'
    queue = ItemQueue()
    queue.add(_item(model=first))
    queue.add(_item(index=1, model=second))
    assert queue.pop((second,), 's').index == 1
    assert queue.pop((second,), 's') is None
    assert len(queue) == 1
