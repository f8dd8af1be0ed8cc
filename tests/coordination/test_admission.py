"""Tests of admission control at one upstream.

A state machine interleaves arrivals, ends, cancellations and preemptions of
online requests and batch items.
"""

import queue

import pytest
import trio
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)
from trio.testing import wait_all_tasks_blocked

from briarrill.coordination.admission import Admission, reserved_slots
from briarrill.coordination.fair_queue import FairQueue
from briarrill.errors import DeadlineUnreachableError, OverloadedError
from briarrill.result_codes import Ran

CONTRACTS = ('kinship', 'balkan', 'portal')


class _TrioGuestLoop:
    """Runs a trio loop in guest mode between steps of a synchronous test."""

    def __init__(self):
        self._steps = queue.SimpleQueue()
        self._ready = False
        self._done = False
        self._idle = False
        self.nursery = None
        self.outcome = None
        trio.lowlevel.start_guest_run(
            self._main,
            run_sync_soon_threadsafe=self._steps.put,
            done_callback=self._finish,
        )
        self._run_until(lambda: self._ready)

    def settle(self, action):
        """Call ``action`` in the loop, then run all tasks until they block."""
        self._idle = False
        self._token.run_sync_soon(self._start, action)
        self._run_until(lambda: self._idle or self._done)

    def close(self):
        self._token.run_sync_soon(self.nursery.cancel_scope.cancel)
        self._run_until(lambda: self._done)
        self.outcome.unwrap()

    async def _main(self):
        self._token = trio.lowlevel.current_trio_token()
        async with trio.open_nursery() as nursery:
            self.nursery = nursery
            self._ready = True
            await trio.sleep_forever()

    def _start(self, action):
        action()
        self.nursery.start_soon(self._wait_idle)

    async def _wait_idle(self):
        await wait_all_tasks_blocked()
        self._idle = True

    def _finish(self, outcome):
        self.outcome = outcome
        self._done = True

    def _run_until(self, condition):
        while not condition():
            self._steps.get(timeout=10)()


class _Request:
    """An online request or batch item and its state."""

    def __init__(self, contract=''):
        self.contract = contract
        self.scope = trio.CancelScope()
        self.end = trio.Event()
        self.state = 'new'


class AdmissionMachine(RuleBasedStateMachine):
    """Arrivals, ends and cancellations in random order."""

    @initialize(
        slots=st.integers(1, 4), limit=st.integers(1, 5), data=st.data()
    )
    def start(self, slots, limit, data):
        reserved = data.draw(st.integers(0, slots))
        self.admission = Admission(slots, limit, reserved)
        self.limit = limit
        self.online, self.batch = [], []
        self.ignores_preemption = False
        self.loop = _TrioGuestLoop()

    def teardown(self):
        if not hasattr(self, 'loop'):
            return
        self.loop.close()
        admission = self.admission
        assert admission.free_slots == admission.slots
        assert not admission.online_queued

    @rule(contracts=st.lists(st.sampled_from(CONTRACTS), max_size=4))
    def online_burst(self, contracts):
        self.loop.settle(
            lambda: [self._start_online(name) for name in contracts]
        )

    @rule(count=st.integers(1, 3))
    def batch_arrives(self, count):
        self.loop.settle(lambda: [self._start_batch() for _ in range(count)])

    @rule(contract=st.sampled_from(CONTRACTS))
    def batch_and_online_arrive_together(self, contract):
        """Queue an online request after a grant that has not run yet."""

        def action():
            self._start_batch()
            self._start_online(contract)

        self.loop.settle(action)

    @rule(data=st.data(), cancel=st.booleans())
    def some_requests_end(self, data, cancel):
        requests = self.online + self.batch
        if not requests:
            return
        picked = data.draw(
            st.lists(st.sampled_from(requests), max_size=3, unique=True)
        )

        def action():
            for request in picked:
                if cancel:
                    request.scope.cancel()
                else:
                    request.end.set()

        self.loop.settle(action)

    @rule(reserved=st.integers(0, 4))
    def reserve(self, reserved):
        self.loop.settle(lambda: self.admission.reserve(reserved))

    @rule(ignores=st.booleans())
    def batch_ignores_preemption(self, ignores):
        self.ignores_preemption = ignores

    @invariant()
    def counters_match_the_tasks_and_limits(self):
        if not hasattr(self, 'loop'):
            return
        admission = self.admission
        batch_slots = self._count(self.batch, 'running') + self._count(
            self.batch, 'leaving'
        )
        assert admission.online_running == self._count(self.online, 'running')
        assert admission.online_queued == self._count(self.online, 'new')
        assert admission.batch_running == batch_slots
        assert admission.online_running + batch_slots <= admission.slots
        assert 0 <= admission.online_queued <= self.limit

    @invariant()
    def online_waits_only_for_slots_being_preempted(self):
        if not hasattr(self, 'loop'):
            return
        admission = self.admission
        if not admission.online_queued:
            return
        assert admission.free_slots == 0
        # one batch item is being preempted for each queued request
        running = self._count(self.batch, 'running')
        leaving = self._count(self.batch, 'leaving')
        assert not running or leaving >= admission.online_queued

    @invariant()
    def batch_waits_only_without_capacity(self):
        if not hasattr(self, 'loop'):
            return
        admission = self.admission
        if self._count(self.batch, 'waiting') and admission.free_slots > 0:
            assert admission.batch_running >= admission.batch_capacity

    async def _run_online(self, request):
        with request.scope:
            try:
                async with self.admission.online_slot(request.contract):
                    request.state = 'running'
                    await request.end.wait()
            except OverloadedError:
                request.state = 'refused'
                return
        request.state = 'ended'

    async def _run_batch(self, request):
        with request.scope:
            while not request.end.is_set():
                request.state = 'waiting'
                async with self.admission.batch_slot() as slot:
                    request.state = 'running'
                    with slot.scope:
                        await request.end.wait()
                    if self.ignores_preemption and not request.end.is_set():
                        request.state = 'leaving'
                        await request.end.wait()
        request.state = 'ended'

    def _start_online(self, contract):
        request = _Request(contract)
        self.online.append(request)
        self.loop.nursery.start_soon(self._run_online, request)
        return request

    def _start_batch(self):
        request = _Request()
        self.batch.append(request)
        self.loop.nursery.start_soon(self._run_batch, request)

    def _count(self, requests, state):
        return sum(request.state == state for request in requests)


TestAdmissionMachine = AdmissionMachine.TestCase
TestAdmissionMachine.settings = settings(
    max_examples=60, stateful_step_count=30, deadline=None
)


async def _hold_online_slot(admission, contract, log, end, time_left_s=60.0):
    try:
        async with admission.online_slot(contract, time_left_s):
            log.append(contract)
            await end.wait()
    except (OverloadedError, DeadlineUnreachableError) as exc:
        assert exc.ran is Ran.NO
        assert exc.retry_after_s >= 1
        log.append(exc)


async def test_queued_contracts_are_admitted_round_robin(nursery):
    admission = Admission(slots=1, queue=10)
    first, second, log = trio.Event(), trio.Event(), []
    nursery.start_soon(_hold_online_slot, admission, 'first', log, first)
    await wait_all_tasks_blocked()
    second.set()
    for contract in ('flood', 'flood', 'flood', 'quiet'):
        nursery.start_soon(_hold_online_slot, admission, contract, log, second)
        await wait_all_tasks_blocked()
    first.set()
    await wait_all_tasks_blocked()
    assert log == ['first', 'flood', 'quiet', 'flood', 'flood']


async def test_full_queue_rejects_a_request_of_the_longest_contract(nursery):
    admission = Admission(slots=1, queue=3)
    end, log = trio.Event(), []
    for contract in ('flood', 'flood', 'flood', 'flood', 'quiet'):
        nursery.start_soon(_hold_online_slot, admission, contract, log, end)
        await wait_all_tasks_blocked()
    end.set()
    await wait_all_tasks_blocked()
    assert [type(entry) for entry in log[:2]] == [str, OverloadedError]
    assert log[2:] == ['flood', 'quiet', 'flood'] or log[2:] == [
        'flood',
        'flood',
        'quiet',
    ]


async def test_request_after_cancelled_waiters_gets_a_preempted_slot(nursery):
    """Admits a request while preempted items outnumber the queued requests.

    The requests that caused the preemptions were cancelled.
    """
    admission = Admission(slots=2, queue=4)
    leave, end, log = trio.Event(), trio.Event(), []

    async def hold_batch():
        async with admission.batch_slot():
            await leave.wait()

    nursery.start_soon(hold_batch)
    nursery.start_soon(hold_batch)
    await wait_all_tasks_blocked()
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as cancelled_requests:
            cancelled_requests.start_soon(
                _hold_online_slot, admission, 'one', log, end
            )
            cancelled_requests.start_soon(
                _hold_online_slot, admission, 'two', log, end
            )
            await wait_all_tasks_blocked()
            scope.cancel()
    nursery.start_soon(_hold_online_slot, admission, 'three', log, end)
    await wait_all_tasks_blocked()
    leave.set()
    await wait_all_tasks_blocked()
    assert log == ['three']
    end.set()


@pytest.mark.parametrize(
    ('time_left_s', 'is_rejected'), [(100.0, False), (35.0, True)]
)
async def test_request_expected_after_its_deadline_is_rejected_on_arrival(
    nursery, monkeypatch, time_left_s, is_rejected
):
    clock = [0.0]
    monkeypatch.setattr(
        'briarrill.coordination.admission.time.monotonic', lambda: clock[0]
    )
    admission = Admission(slots=1, queue=10)
    async with admission.online_slot('seen'):
        clock[0] += 20
    end, log = trio.Event(), []
    nursery.start_soon(_hold_online_slot, admission, 'running', log, end)
    await wait_all_tasks_blocked()
    nursery.start_soon(
        _hold_online_slot, admission, 'late', log, end, time_left_s
    )
    await wait_all_tasks_blocked()
    rejected = [entry for entry in log if entry != 'running']
    assert bool(rejected) is is_rejected
    if rejected:
        assert rejected[0].retry_after_s == 20
    end.set()


async def test_queued_request_past_its_latest_start_is_rejected(
    nursery, monkeypatch
):
    clock = [0.0]
    monkeypatch.setattr(
        'briarrill.coordination.admission.time.monotonic', lambda: clock[0]
    )
    admission = Admission(slots=1, queue=10)
    async with admission.online_slot('seen'):
        clock[0] += 20
    end, log = trio.Event(), []
    nursery.start_soon(_hold_online_slot, admission, 'running', log, end)
    await wait_all_tasks_blocked()
    nursery.start_soon(_hold_online_slot, admission, 'waiting', log, end, 50.0)
    await wait_all_tasks_blocked()
    clock[0] += 45
    end.set()
    await wait_all_tasks_blocked()
    assert isinstance(log[-1], DeadlineUnreachableError)
    assert admission.free_slots == 1


def test_reserved_slots_grow_with_the_online_weight():
    assert [reserved_slots(8, weight) for weight in (0, 0.5, 1)] == [0, 2, 4]
    assert reserved_slots(1, 1.0) == 0


def test_fair_queue_counts_entries_served_before_a_new_one():
    fair_queue = FairQueue()
    for contract in ('flood', 'flood', 'flood', 'quiet'):
        fair_queue.push(contract, contract)
    assert fair_queue.count_ahead_of('new') == 2
    assert fair_queue.count_ahead_of('quiet') == 3
    assert fair_queue.count_ahead_of('flood') == 4


async def test_displaced_request_gets_its_own_contracts_retry_time(
    nursery, autojump_clock
):
    """A short queue of another contract says nothing about its wait."""
    admission = Admission(slots=1, queue=4)
    admission._service_times.add(10.0)
    retry_times = {}

    async def wait(contract, number):
        try:
            async with admission.online_slot(contract):
                await trio.sleep_forever()
        except OverloadedError as exc:
            retry_times[contract, number] = exc.retry_after_s

    for number in range(5):
        nursery.start_soon(wait, 'kinship', number)
        await wait_all_tasks_blocked()
    nursery.start_soon(wait, 'balkan', 0)
    await wait_all_tasks_blocked()
    # three requests of 10 s each are ahead, and its own
    assert retry_times == {('kinship', 4): 40.0}
