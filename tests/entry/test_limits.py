"""Limits of contracts at entries that borrow from a holder."""

import contextlib
import types

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from briarrill.control import Control
from briarrill.coordination.allowances import AllowanceLedger
from briarrill.entry.lender import FleetLender
from briarrill.entry.limits import Limits
from briarrill.errors import (
    InFlightLimitError,
    LimitError,
    PeerUnreachableError,
    RequestRateError,
    TokenRateError,
)
from briarrill.protocol.messages import Borrow
from briarrill.protocol.rpc import RpcCaller
from briarrill.result_codes import Ran
from briarrill.state.contracts import Configuration, Contract
from briarrill.state.membership import Membership
from briarrill.state.rendezvous import rank
from briarrill.state.settings import InstanceSettings, PortSettings
from briarrill.transport.instance_list import Instance, Role
from tests.entry.lending import LedgerLender

ENTRIES = ('entry-1', 'entry-2', 'entry-3')

# a ledger with this clock earns nothing during a test
FROZEN_CLOCK_S = 1000.0


def _contract(**fields):
    return Contract(api_key_sha256=(), **fields)


@pytest.fixture
def lender():
    return LedgerLender()


async def _admit(limits, contract, count, name='c'):
    """Admit requests that stay in flight; return how many were."""
    admitted = 0
    with contextlib.ExitStack() as stack:
        for _ in range(count):
            with contextlib.suppress(LimitError):
                held = await limits.request(name, contract)
                stack.enter_context(held)
                admitted += 1
    return admitted


async def test_entries_together_admit_what_one_bucket_holds(lender):
    lender.ledger = AllowanceLedger(lambda: FROZEN_CLOCK_S)
    contract = _contract(requests_per_second=20, requests_in_flight=1000)
    admitted = [
        await _admit(Limits(name, lender), contract, 40) for name in ENTRIES
    ]
    assert sum(admitted) == 20


async def test_whole_limit_is_usable_at_one_entry(lender):
    """A static split would refuse two thirds of these."""
    contract = _contract(requests_per_second=20, requests_in_flight=20)
    assert await _admit(Limits('entry-1', lender), contract, 20) == 20


async def test_refusal_says_when_to_come_back(lender):
    lender.ledger = AllowanceLedger(lambda: FROZEN_CLOCK_S)
    contract = _contract(requests_per_second=2)
    limits = Limits('entry-1', lender)
    await _admit(limits, contract, 2)
    with pytest.raises(RequestRateError) as caught:
        await limits.request('c', contract)
    assert caught.value.ran is Ran.NO
    assert caught.value.retry_after_s == pytest.approx(0.5, abs=0.4)


async def test_requests_in_flight_are_bounded_over_entries(lender):
    contract = _contract(requests_per_second=500, requests_in_flight=6)
    entries = [Limits(name, lender) for name in ENTRIES]
    with contextlib.ExitStack() as stack:
        for number in range(6):
            limits = entries[number % 3]
            stack.enter_context(await limits.request('c', contract))
        for limits in entries:
            with pytest.raises(InFlightLimitError):
                await limits.request('c', contract)
    async with trio.open_nursery() as nursery:
        for limits in entries:
            nursery.start_soon(limits.run)
        with trio.fail_after(10):
            while await _admit(entries[0], contract, 6) < 6:
                await trio.sleep(0.05)
        nursery.cancel_scope.cancel()


async def test_overdrawn_tokens_are_paid_back_before_more_is_admitted(lender):
    contract = _contract(requests_per_second=100, tokens_per_second=100)
    limits = Limits('entry-1', lender)
    with await limits.request('c', contract) as held:
        held.charge(130)
    with pytest.raises(TokenRateError) as caught:
        await limits.request('c', contract)
    assert 0 < caught.value.retry_after_s <= 1
    with trio.fail_after(10):
        while not await _admit(limits, contract, 1):
            await trio.sleep(0.05)
    assert sum(call.tokens for call in lender.calls) >= 30


async def test_contract_within_its_limits_is_not_refused(lender):
    limits = Limits('entry-1', lender)
    modest = _contract(requests_per_second=50, requests_in_flight=50)
    greedy = _contract(requests_per_second=5, requests_in_flight=5)
    for _ in range(10):
        await _admit(limits, greedy, 50, 'greedy')
        assert await _admit(limits, modest, 5, 'modest') == 5


async def test_contract_over_its_limit_does_not_flood_the_holder(lender):
    contract = _contract(requests_per_second=1)
    limits = Limits('entry-1', lender)
    await _admit(limits, contract, 500)
    assert len(lender.calls) < 20


async def test_contracts_without_traffic_cost_no_messages(lender):
    limits = Limits('entry-1', lender)
    for number in range(50):
        await _admit(limits, _contract(), 1, f'c{number}')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(limits.run)
        await trio.sleep(1.2)
        calls = len(lender.calls)
        await trio.sleep(1.2)
        nursery.cancel_scope.cancel()
    assert len(lender.calls) == calls


class _Caller(RpcCaller):
    """Reaches the lenders of other entries but those that are cut off."""

    def __init__(self):
        self.lenders = {}
        self.cut = set()
        self.asked = []

    async def call(self, host, port, request, timeout_s=2.0):
        self.asked.append(host)
        if host in self.cut:
            raise PeerUnreachableError('no reply')
        return await self.lenders[host].answer(request)


@pytest.fixture
def fleet():
    caller = _Caller()
    contract = _contract(requests_per_second=12, requests_in_flight=12)
    instances = tuple(
        Instance(name, name, 'hobart-a', 'lutruwita', (Role.ENTRY,))
        for name in ENTRIES
    )
    for name in ENTRIES:
        control = Control(
            instance=InstanceSettings(name, '127.0.0.1', 'a', 'r'),
            role=Role.ENTRY,
            ports=PortSettings(),
            platform=None,
            readiness=None,
            caller=caller,
            holder=types.SimpleNamespace(
                current=Configuration(contracts={'c': contract})
            ),
            membership=Membership(instances),
        )
        caller.lenders[name] = FleetLender(control)
    return types.SimpleNamespace(
        caller=caller, contract=contract, holders=rank('c', ENTRIES)
    )


def _limits(fleet, name):
    return Limits(name, fleet.caller.lenders[name])


async def test_all_entries_borrow_from_one_holder(fleet):
    for name in ENTRIES:
        await _admit(_limits(fleet, name), fleet.contract, 1)
    sizes = {
        name: len(lender.ledger)
        for name, lender in fleet.caller.lenders.items()
    }
    assert sizes == {name: int(name == fleet.holders[0]) for name in ENTRIES}


async def test_lost_holder_is_passed_over_once_and_for_all(fleet):
    first, second, third = fleet.holders
    fleet.caller.cut.add(first)
    limits = _limits(fleet, third)
    admitted = 0
    with trio.fail_after(10):
        while admitted < 3:
            admitted += await _admit(limits, fleet.contract, 1)
            await trio.sleep(0.05)
    assert fleet.caller.asked.count(first) == 1
    assert second in fleet.caller.asked


async def test_entry_that_is_cut_off_keeps_to_its_split(fleet):
    """All holders before it are out of reach: a third of the limits."""
    first, second, third = fleet.holders
    lender = fleet.caller.lenders[third]
    fleet.caller.cut |= {first, second}
    allowance = await lender.borrow(
        Borrow(third, 'c', 12, 0, 12, 0), fleet.contract
    )
    assert allowance.requests <= 4
    assert allowance.in_flight <= 4


async def test_report_of_ended_requests_brings_no_refusal(lender):
    """A report asks for nothing, so what it gets is no refusal."""
    contract = _contract(requests_per_second=100, requests_in_flight=100)
    limits = Limits('entry-1', lender)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(limits.run)
        admitted = 0
        for _ in range(120):
            admitted += await _admit(limits, contract, 1)
            await trio.sleep(0.015)
        nursery.cancel_scope.cancel()
    assert admitted == 120


async def test_request_that_comes_during_a_report_is_not_refused(
    lender, nursery
):
    """The report did not ask for it, so its reply does not speak of it."""
    contract = _contract(requests_per_second=100, requests_in_flight=100)
    limits = Limits('entry-1', lender)
    assert await _admit(limits, contract, 1) == 1
    lender.gate = trio.Event()
    nursery.start_soon(limits.run)
    with trio.fail_after(10):
        while len(lender.calls) < 2:
            await trio.sleep(0.01)
        admitted = []

        async def request():
            admitted.append(await _admit(limits, contract, 1))

        nursery.start_soon(request)
        await wait_all_tasks_blocked()
        lender.gate.set()
        while not admitted:
            await trio.sleep(0.01)
    assert admitted == [1]


async def test_holder_of_a_running_fleet_starts_with_a_full_bucket(fleet):
    lender = fleet.caller.lenders[fleet.holders[0]]
    await trio.sleep(1.1)
    limits = Limits(fleet.holders[0], lender)
    assert await _admit(limits, fleet.contract, 12) == 12
