"""Tests of leases: checks pass only while valid, in the epoch of the claim."""

import pytest
import trio
from hypothesis import settings, stateful
from hypothesis import strategies as st
from trio import testing

from briarrill.coordination.leases import TTL_MARGIN_SHARE, Lease
from briarrill.errors import BriarrillError, LeaseLostError
from briarrill.state.keys import lease_key
from standins.memory_key_value import MemoryKeyValue

TTL_S = 5
CLOCK = 'briarrill.coordination.leases.time.monotonic'


class SlowService(MemoryKeyValue):
    """Lets other tasks run before each reply."""

    async def read(self, key):
        await testing.wait_all_tasks_blocked()
        return await super().read(key)


@pytest.fixture
def clock(monkeypatch):
    """Return the holder's clock in seconds, as a list of one number."""
    now = [100.0]
    monkeypatch.setattr(CLOCK, lambda: now[0])
    return now


async def test_lease_expires_at_the_holder_before_the_service(clock):
    lease = Lease(MemoryKeyValue(), 'batch-0', TTL_S)
    await lease._renew()
    clock[0] += TTL_S * (1 - TTL_MARGIN_SHARE) - 0.01
    lease.check()
    clock[0] += 0.02
    with pytest.raises(LeaseLostError):
        lease.check()


async def test_two_renewals_at_once_leave_one_valid_lease():
    """The second one must not lose the key to the first."""
    service = SlowService()
    lease = Lease(service, 'batch-0', TTL_S)
    await lease._renew()
    service.expire_lease(lease.lease_id)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(lease._renew)
        nursery.start_soon(lease._renew)
    lease.check()
    key = await service.read(lease_key('batch-0'))
    assert key.body == str(lease.lease_id).encode()


async def test_check_with_an_earlier_epoch_fails_after_a_new_grant(clock):
    service = MemoryKeyValue()
    lease = Lease(service, 'batch-0', TTL_S)
    await lease._renew()
    claimed_epoch = lease.lease_id
    service.expire_lease(claimed_epoch)
    await lease._renew()
    lease.check()
    with pytest.raises(LeaseLostError, match='granted anew'):
        lease.check(claimed_epoch)


async def test_lease_after_a_slow_renewal_is_valid_from_the_request(clock):
    service = MemoryKeyValue()
    lease = Lease(service, 'batch-0', TTL_S)
    await lease._renew()
    keep_alive = service.keep_lease_alive

    async def respond_late(lease_id):
        ttl_s = await keep_alive(lease_id)
        clock[0] += TTL_S
        return ttl_s

    service.keep_lease_alive = respond_late
    await lease._renew()
    with pytest.raises(LeaseLostError):
        lease.check()


async def test_grant_fails_when_another_holder_writes_the_key(clock):
    service = MemoryKeyValue()
    lease = Lease(service, 'batch-0', TTL_S)
    read = service.read

    async def read_then_overwrite(key):
        entry = await read(key)
        await service.compare_and_swap(key, b'other', mod_revision=0)
        return entry

    service.read = read_then_overwrite
    with pytest.raises(LeaseLostError):
        await lease._renew()
    with pytest.raises(LeaseLostError):
        lease.check()


async def test_renewals_back_off_and_spread_while_the_service_is_down(
    autojump_clock,
):
    service = MemoryKeyValue()
    service.is_down = True
    requested_at = []
    grant = service.grant_lease

    async def record_request(ttl_s):
        requested_at.append(trio.current_time())
        return await grant(ttl_s)

    service.grant_lease = record_request
    async with trio.open_nursery() as nursery:
        for number in range(50):
            lease = Lease(service, f'batch-{number}', TTL_S)
            nursery.start_soon(lease.run)
        await trio.sleep(60)
        nursery.cancel_scope.cancel()
    late_half_seconds = [int(at * 2) for at in requested_at if at >= 30]
    assert len(late_half_seconds) <= 50 * 30 / TTL_S
    assert (
        max(late_half_seconds.count(half) for half in set(late_half_seconds))
        <= 25
    )


class FencedLease(stateful.RuleBasedStateMachine):
    """Runs two holders of the same name that write one protected resource.

    The service ends a lease when its time to live has passed; a frozen
    holder continues later. No write succeeds under a lease that the service
    has ended, or after a write of a later epoch.
    """

    def __init__(self):
        super().__init__()
        self.now = 1000.0
        self.patch = pytest.MonkeyPatch()
        self.patch.setattr(CLOCK, lambda: self.now)
        self.service = MemoryKeyValue()
        self.leases = [Lease(self.service, 'batch-0', TTL_S) for _ in range(2)]
        self.claims = [0, 0]
        self.ends_at = {}
        self.highest_epoch = 0

    def teardown(self):
        self.patch.undo()

    @stateful.rule(number=st.integers(0, 1), is_down=st.booleans())
    def renew(self, number, is_down):
        self.service.is_down = is_down
        lease = self.leases[number]
        try:
            trio.run(lease._renew)
        except BriarrillError:
            return
        finally:
            self.service.is_down = False
        self.ends_at[lease.lease_id] = self.now + TTL_S

    @stateful.rule(seconds=st.sampled_from((0.5, 1, 3, 4.5, 6)))
    def advance_clock(self, seconds):
        self.now += seconds
        for lease_id, ends_at in self.ends_at.items():
            if ends_at <= self.now:
                self.service.expire_lease(lease_id)

    @stateful.rule(number=st.integers(0, 1))
    def claim(self, number):
        lease = self.leases[number]
        if lease.is_valid and self._holds_key(lease.lease_id):
            self.claims[number] = lease.lease_id

    @stateful.rule(number=st.integers(0, 1))
    def write(self, number):
        epoch = self.claims[number]
        try:
            self.leases[number].check(epoch)
        except LeaseLostError:
            return
        if epoch < self.highest_epoch:
            return
        assert self.ends_at[epoch] > self.now
        self.highest_epoch = epoch

    @stateful.invariant()
    def epochs_of_a_holder_grow(self):
        for lease, claimed_epoch in zip(self.leases, self.claims, strict=True):
            assert lease.lease_id >= claimed_epoch

    def _holds_key(self, lease_id):
        entry = self.service._entries.get(lease_key('batch-0'))
        return entry is not None and entry[1] == lease_id


TestFencedLease = FencedLease.TestCase
TestFencedLease.settings = settings(max_examples=60, stateful_step_count=30)
