"""Tests of pull rate and timeout of sidecars without items."""

import pytest

from briarrill.batch.item_dispatcher import PULLER_TIMEOUT_S, ItemDispatcher
from briarrill.batch.item_sources import ItemSource, ItemSources
from briarrill.coordination.admission import Admission
from briarrill.coordination.upstream_ends import observe_prompt_news
from briarrill.protocol.codec import decode, encode
from briarrill.protocol.messages import Assign, BatchItem, Pull
from briarrill.readiness import Readiness
from briarrill.sidecar.batch import BatchPuller
from briarrill.sidecar.online import SidecarIdentity
from briarrill.sidecar.unfinished_items import UnfinishedItems
from briarrill.state.contracts import Contract
from tests.sidecar.sidecar_setup import ScriptedUpstream, make_batch_runner

BATCH_PROCESS_COUNT = 350
PEER = b'peer'


class _RecordingSocket:
    """Records sent frames."""

    def __init__(self):
        self.sent = []

    def send(self, frames):
        self.sent.append(frames)


class _OneItemSource(ItemSource):
    """A job with one item; records requeued items."""

    job = 'job'
    contract = 'kinship'
    due_at = 0

    def __init__(self):
        self.requeued = []
        self._remaining = [_item()]

    def next_item(self, models, sidecar):
        return self._remaining.pop() if self._remaining else None

    def requeue_lost(self, batch_item):
        self.requeued.append(batch_item)

    def record_outcome(self, outcome, sidecar):
        raise NotImplementedError


def _item():
    return BatchItem('job', 0, 1, 'kinship', 'm', '/', b'')


@pytest.fixture
def clock(monkeypatch):
    """Return a list whose first element is the current monotonic time."""
    now = [100.0]
    monkeypatch.setattr(
        'briarrill.batch.item_dispatcher.time.monotonic', lambda: now[0]
    )
    return now


@pytest.fixture
def dispatcher():
    contract = Contract(api_key_sha256=())
    return ItemDispatcher(
        _RecordingSocket(),
        ItemSources(lambda _name: contract),
        observe_prompt_news(),
    )


def _handle_pull(dispatcher, next_in_s):
    pull = Pull('s', 'sidecar', 1, ('m',), next_in_s=next_in_s)
    dispatcher._handle_message(PEER, decode(encode(pull)))


def _pull_of_idle_sidecar(process_count):
    """Return the pull of an idle sidecar with so many batch processes."""
    puller = BatchPuller(
        SidecarIdentity('sidecar'),
        make_batch_runner(ScriptedUpstream(), Admission(2, 2)),
        Readiness(),
        'owner',
        UnfinishedItems(),
    )
    puller.process_count = process_count
    puller._socket = _RecordingSocket()
    puller._send_pull()
    return decode(puller._socket.sent[0])


def test_idle_pull_rate_is_independent_of_batch_process_count():
    rate_of_few = 5 / _pull_of_idle_sidecar(5).next_in_s
    rate_of_many = (
        BATCH_PROCESS_COUNT
        / _pull_of_idle_sidecar(BATCH_PROCESS_COUNT).next_in_s
    )
    assert rate_of_few == rate_of_many == 5


def test_idle_sidecar_within_timeout_gets_new_items(dispatcher, clock):
    _handle_pull(dispatcher, next_in_s=70)
    clock[0] += 70
    dispatcher.remove_silent_sidecars()
    dispatcher.add_source(_OneItemSource())
    _, *frames = dispatcher._socket.sent[0]
    assert decode(frames) == Assign((_item(),))


def test_idle_sidecar_past_timeout_is_removed(dispatcher, clock):
    _handle_pull(dispatcher, next_in_s=70)
    clock[0] += 220
    dispatcher.remove_silent_sidecars()
    dispatcher.add_source(_OneItemSource())
    assert not dispatcher._socket.sent


def test_silent_sidecar_with_items_loses_them_after_puller_timeout(
    dispatcher, clock
):
    """An idle sidecar may be silent for long, one with items may not.

    The timeout of a sidecar that gets items at the end of its idle interval
    runs from the assignment.
    """
    source = _OneItemSource()
    _handle_pull(dispatcher, next_in_s=70)
    clock[0] += 69
    dispatcher.add_source(source)
    clock[0] += PULLER_TIMEOUT_S - 0.1
    dispatcher.remove_silent_sidecars()
    assert not source.requeued
    clock[0] += 0.2
    dispatcher.remove_silent_sidecars()
    assert source.requeued == [_item()]
