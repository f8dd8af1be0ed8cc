"""Sidecars without items, and batch processes without jobs."""

import pytest

from briarrill.batch.handout import PULLER_TIMEOUT_S, Handout
from briarrill.batch.item_sources import ItemSource, ItemSources
from briarrill.protocol.codec import decode, encode
from briarrill.protocol.messages import Assign, BatchItem, Pull
from briarrill.readiness import Readiness
from briarrill.sidecar.batch import BatchPuller
from briarrill.sidecar.held_items import HeldItems
from briarrill.sidecar.online import Identity
from briarrill.state.contracts import Contract

BATCH_PROCESSES = 350
PEER = b'peer'


class _Socket:
    """Keeps what is sent."""

    def __init__(self):
        self.sent = []

    def send(self, frames):
        self.sent.append(frames)


class _Source(ItemSource):
    """A job with one item."""

    job = 'job'
    contract = 'kinship'
    due_at = 0

    def __init__(self):
        self.taken_back = []
        self._left = [_item()]

    def next_item(self, models, sidecar):
        return self._left.pop() if self._left else None

    def take_back(self, batch_item):
        self.taken_back.append(batch_item)

    def take_outcome(self, outcome, sidecar):
        raise NotImplementedError


def _item():
    return BatchItem('job', 0, 1, 'kinship', 'm', '/', b'')


@pytest.fixture
def clock(monkeypatch):
    """Return the hand-out's clock, in a list."""
    now = [100.0]
    monkeypatch.setattr(
        'briarrill.batch.handout.time.monotonic', lambda: now[0]
    )
    return now


@pytest.fixture
def handout():
    contract = Contract(api_key_sha256=())
    return Handout(_Socket(), ItemSources(lambda _name: contract))


def _pull(handout, next_in_s):
    pull = Pull('s', 'sidecar', 1, ('m',), next_in_s=next_in_s)
    handout._dispatch(PEER, decode(encode(pull)))


def _sent_pull(processes):
    """Return the pull of an idle sidecar before this many processes."""
    puller = BatchPuller(
        Identity('sidecar'), None, Readiness(), 'owner', HeldItems()
    )
    puller.processes = processes
    puller._socket = _Socket()
    puller._send_pull()
    return decode(puller._socket.sent[0])


def test_pulls_from_idle_processes_do_not_grow_with_their_number():
    few = 5 / _sent_pull(5).next_in_s
    many = BATCH_PROCESSES / _sent_pull(BATCH_PROCESSES).next_in_s
    assert few == many == 5


def test_idle_sidecar_is_known_until_it_missed_its_pulls(handout, clock):
    _pull(handout, next_in_s=70)
    clock[0] += 70
    handout.drop_silent()
    handout.add_source(_Source())
    _, *frames = handout._socket.sent[0]
    assert decode(frames) == Assign((_item(),))


def test_sidecar_that_missed_its_pulls_is_forgotten(handout, clock):
    _pull(handout, next_in_s=70)
    clock[0] += 220
    handout.drop_silent()
    handout.add_source(_Source())
    assert not handout._socket.sent


def test_items_of_a_lost_idle_sidecar_come_back_in_time(handout, clock):
    """Its agreed silence does not hold the items that it was sent."""
    source = _Source()
    _pull(handout, next_in_s=70)
    clock[0] += 69
    handout.add_source(source)
    clock[0] += PULLER_TIMEOUT_S - 0.1
    handout.drop_silent()
    assert not source.taken_back
    clock[0] += 0.2
    handout.drop_silent()
    assert source.taken_back == [_item()]
