"""Admission of requests under the rate of their customer."""

import attrs
import pytest
import trio

from briarrill.coordination.allowances.customer_ledger import (
    CustomerLedger,
    RateTerms,
)
from briarrill.coordination.allowances.peer_lender import CustomerLender
from briarrill.coordination.allowances.tenure import Tenure
from briarrill.coordination.customers.customer import ANONYMOUS, Customer
from briarrill.coordination.relay_protocol import Intent, IntentKind
from briarrill.coordination.routes import RouteTable
from briarrill.errors import (
    OutcomeUnknownError,
    OverloadedError,
    RequestRateError,
)
from briarrill.platform.relay_protocol import PlatformRelayProtocol
from briarrill.relay.customer_limits import CustomerLimits, admitted
from briarrill.result_codes import Ran
from standins.platform_engine import StandinEngine, respond_with
from tests.relay.front_end_setup import NON_IDEMPOTENT, run_front_end

CUSTOMER = Customer('c', (), requests_per_second=10, burst=5)


class _Clock:
    now = 1000.0

    def __call__(self):
        return self.now


class _LedgerLender(CustomerLender):
    """Lends from a ledger of this process, which is the only one."""

    def __init__(self):
        self.clock = _Clock()
        self.ledger = CustomerLedger(Tenure('p', self.clock))
        self.clock.now += 10
        self.calls = []

    async def run(self):
        """Return at once: there are no other processes."""

    async def borrow(self, borrow, terms):
        await trio.lowlevel.checkpoint()
        self.calls.append(borrow)
        return self.ledger.lend(
            borrow.contract,
            terms,
            1,
            wanted=borrow.requests,
            waiting=borrow.in_flight,
        )

    def give_back(self, name, count):
        self.ledger.give_back(name, count)


@pytest.fixture
def lender():
    return _LedgerLender()


@pytest.fixture
def limits(lender):
    return CustomerLimits(lender, lender.clock)


def _intent(customer, version=1):
    return Intent(
        IntentKind.FORWARD,
        'r',
        None,
        1,
        customer=customer,
        routes=RouteTable(version, ()),
    )


async def _send(limits, count, customer=CUSTOMER, *, version=1, error=None):
    """Send requests; return the Retry-After of each refused one."""
    refusals = []
    for _ in range(count):
        try:
            async with admitted(limits, _intent(customer, version)):
                if error is not None:
                    raise error
        except RequestRateError as exc:
            assert exc.ran is Ran.NO
            assert exc.http_status == 429
            refusals.append(exc.retry_after_s)
        except (OverloadedError, OutcomeUnknownError) as exc:
            assert exc is error
    return refusals


@pytest.mark.parametrize('customer', [ANONYMOUS, Customer('free')])
async def test_customer_without_limit_asks_nobody(limits, lender, customer):
    assert not await _send(limits, 100, customer)
    assert not lender.calls
    assert not len(limits)


async def test_burst_is_admitted_and_more_is_refused(limits):
    assert len(await _send(limits, 20)) == 15


async def test_refused_callers_return_at_the_rate(limits):
    """They would all return at the moment at which one place is free."""
    refusals = await _send(limits, 25)
    gaps = [
        later - sooner
        for sooner, later in zip(refusals, refusals[1:], strict=False)
    ]
    assert round(min(gaps) * 1000) >= 100
    assert round(refusals[0] * 1000) == 100
    assert refusals[-1] <= 5


async def test_refusals_do_not_ask_again_at_once(limits, lender):
    await _send(limits, 300)
    assert len(lender.calls) <= 7


async def test_request_that_has_not_run_gives_its_place_back(limits):
    not_run = OverloadedError('no place', retry_after_s=1)
    assert not await _send(limits, 100, error=not_run)
    assert len(await _send(limits, 20)) == 15


async def test_request_that_may_have_run_counts(limits):
    lost = OutcomeUnknownError('lost')
    assert len(await _send(limits, 20, error=lost)) == 15


async def test_lowered_limit_binds_what_was_borrowed(limits, lender):
    usage = attrs.evolve(CUSTOMER, requests_per_second=1000, burst=1000)
    for _ in range(20):
        lender.clock.now += 0.01
        assert not await _send(limits, 10, usage)
    lowered = attrs.evolve(CUSTOMER, requests_per_second=1, burst=1)
    assert len(await _send(limits, 100, lowered, version=2)) == 99


async def test_older_version_of_a_limit_does_not_raise_it(limits, lender):
    """A process that has not read the new version yet asks the holder."""
    lowered = attrs.evolve(CUSTOMER, requests_per_second=1, burst=1)
    assert not await _send(limits, 1, lowered, version=2)
    other = CustomerLimits(lender, lender.clock)
    assert len(await _send(other, 20, CUSTOMER, version=1)) == 20


async def test_unused_requests_return_to_the_holder(limits, lender):
    customer = attrs.evolve(CUSTOMER, requests_per_second=100, burst=100)
    for _ in range(30):
        lender.clock.now += 0.01
        await _send(limits, 1, customer)
    lender.clock.now += 0.2
    limits.return_unused()
    lent = lender.ledger.lend(
        'c', RateTerms(100, 100, 1), 1, wanted=1000, waiting=0
    )
    assert lent.requests == 100


class _OneCustomerProtocol(PlatformRelayProtocol):
    """Takes all requests for those of one customer."""

    def read_intent(self, head, routes, is_job):
        intent = super().read_intent(head, routes, is_job)
        return attrs.evolve(intent, customer=CUSTOMER)


def _limit(setup, limits):
    setup.front.protocol = _OneCustomerProtocol()
    setup.front.customer_limits = limits


async def test_front_end_refuses_what_is_over_the_limit(limits):
    engine = StandinEngine(respond_with(b'ok'))
    async with run_front_end([NON_IDEMPOTENT], engine) as setup:
        _limit(setup, limits)
        replies = [
            await setup.send_request(NON_IDEMPOTENT.prefix) for _ in range(20)
        ]
    assert [reply[0] for reply in replies] == [200] * 5 + [429] * 15
    assert b'retry-after' in replies[-1][1]
    assert len(engine.requests) == 5


async def test_front_end_gives_the_place_of_a_refused_request_back(limits):
    async with run_front_end([NON_IDEMPOTENT]) as setup:
        _limit(setup, limits)
        replies = [
            await setup.send_request(NON_IDEMPOTENT.prefix) for _ in range(40)
        ]
    assert {reply[0] for reply in replies} == {503}
    assert len(await _send(limits, 20)) == 15
