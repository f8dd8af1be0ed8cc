"""A holder acts only under a valid lease and the epoch of its claim."""

import pytest
import trio
from hypothesis import settings, stateful
from hypothesis import strategies as st

from briarrill.coordination.leases import MARGIN, Lease
from briarrill.errors import BriarrillError, LeaseLostError
from briarrill.state.keys import lease_key
from standins.memory_key_value import MemoryKeyValue

TTL_S = 5
CLOCK = 'briarrill.coordination.leases.time.monotonic'


@pytest.fixture
def clock(monkeypatch):
    """Return the seconds that the holder's clock shows, in a list."""
    now = [100.0]
    monkeypatch.setattr(CLOCK, lambda: now[0])
    return now


async def test_lease_ends_before_the_service_ends_it(clock):
    lease = Lease(MemoryKeyValue(), 'batch-0', TTL_S)
    await lease._renew()
    clock[0] += TTL_S * (1 - MARGIN) - 0.01
    lease.check()
    clock[0] += 0.02
    with pytest.raises(LeaseLostError):
        lease.check()


async def test_claim_of_an_earlier_grant_does_not_act(clock):
    service = MemoryKeyValue()
    lease = Lease(service, 'batch-0', TTL_S)
    await lease._renew()
    claimed = lease.lease_id
    service.expire(claimed)
    await lease._renew()
    lease.check()
    with pytest.raises(LeaseLostError, match='granted anew'):
        lease.check(claimed)


async def test_slow_renewal_counts_from_when_it_was_asked(clock):
    service = MemoryKeyValue()
    lease = Lease(service, 'batch-0', TTL_S)
    await lease._renew()
    keep_alive = service.keep_lease_alive

    async def answer_late(lease_id):
        ttl_s = await keep_alive(lease_id)
        clock[0] += TTL_S
        return ttl_s

    service.keep_lease_alive = answer_late
    await lease._renew()
    with pytest.raises(LeaseLostError):
        lease.check()


async def test_grant_that_lost_its_key_is_not_used(clock):
    service = MemoryKeyValue()
    lease = Lease(service, 'batch-0', TTL_S)
    read = service.read

    async def read_then_lose(key):
        found = await read(key)
        await service.compare_and_swap(key, b'other', mod_revision=0)
        return found

    service.read = read_then_lose
    with pytest.raises(LeaseLostError):
        await lease._renew()
    with pytest.raises(LeaseLostError):
        lease.check()


async def test_processes_do_not_storm_a_service_that_is_down(autojump_clock):
    service = MemoryKeyValue()
    service.down = True
    asked_at = []
    grant = service.grant_lease

    async def note(ttl_s):
        asked_at.append(trio.current_time())
        return await grant(ttl_s)

    service.grant_lease = note
    async with trio.open_nursery() as nursery:
        for number in range(50):
            lease = Lease(service, f'batch-{number}', TTL_S)
            nursery.start_soon(lease.run)
        await trio.sleep(60)
        nursery.cancel_scope.cancel()
    late = [int(at * 2) for at in asked_at if at >= 30]
    assert len(late) <= 50 * 30 / TTL_S
    assert max(late.count(half) for half in set(late)) <= 25


class FencedLease(stateful.RuleBasedStateMachine):
    """Two holders of one name against a resource that one may change.

    The service ends a lease when its time to live has passed; a frozen
    holder goes on where it stood. No act succeeds under a lease that the
    service has ended, and none after an act of a later epoch.
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
        self.highest = 0

    def teardown(self):
        self.patch.undo()

    @stateful.rule(number=st.integers(0, 1), is_down=st.booleans())
    def renew(self, number, is_down):
        self.service.down = is_down
        lease = self.leases[number]
        try:
            trio.run(lease._renew)
        except BriarrillError:
            return
        finally:
            self.service.down = False
        self.ends_at[lease.lease_id] = self.now + TTL_S

    @stateful.rule(seconds=st.sampled_from((0.5, 1, 3, 4.5, 6)))
    def pass_time(self, seconds):
        self.now += seconds
        for lease_id, ends_at in self.ends_at.items():
            if ends_at <= self.now:
                self.service.expire(lease_id)

    @stateful.rule(number=st.integers(0, 1))
    def claim(self, number):
        lease = self.leases[number]
        if lease.is_valid and self._holds_key(lease.lease_id):
            self.claims[number] = lease.lease_id

    @stateful.rule(number=st.integers(0, 1))
    def act(self, number):
        epoch = self.claims[number]
        try:
            self.leases[number].check(epoch)
        except LeaseLostError:
            return
        if epoch < self.highest:
            return
        assert self.ends_at[epoch] > self.now
        self.highest = epoch

    @stateful.invariant()
    def epochs_of_a_holder_grow(self):
        for lease, claimed in zip(self.leases, self.claims, strict=True):
            assert lease.lease_id >= claimed

    def _holds_key(self, lease_id):
        entry = self.service._entries.get(lease_key('batch-0'))
        return entry is not None and entry[1] == lease_id


TestFencedLease = FencedLease.TestCase
TestFencedLease.settings = settings(max_examples=60, stateful_step_count=30)
