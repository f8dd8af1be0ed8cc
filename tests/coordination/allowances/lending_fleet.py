"""Processes that lend each other customers' requests, without a network."""

import collections
import random

import attrs

from briarrill.coordination.allowances.customer_ledger import CustomerLedger
from briarrill.coordination.allowances.exchange import AllowanceExchange
from briarrill.coordination.allowances.peer_lender import PeerLender
from briarrill.coordination.allowances.tenure import Tenure
from briarrill.coordination.expected_replies import ExpectedReplies
from briarrill.coordination.peer_reports import PEER_TIMEOUT_S
from briarrill.coordination.relay_protocol import Intent, IntentKind
from briarrill.coordination.routes import RouteTable
from briarrill.errors import LimitError, OverloadedError
from briarrill.protocol.allowances import (
    AllowanceRequest,
    decode_allowance,
    encode_allowance,
)
from briarrill.protocol.load_reports import LoadReport
from briarrill.protocol.messages import Allowance
from briarrill.relay.customer_limits import CustomerLimits, admitted

STEP_S = 0.05
HEARTBEAT_STEPS = 9
CHECK_STEPS = 2

WINDOW_S = 5.0


def allowed_in_window(customer):
    """Return the requests that may run in any window of all processes."""
    rate = customer.requests_per_second
    return (rate * WINDOW_S + customer.burst) * 1.1 + 20


@attrs.define
class DirectExchange(AllowanceExchange):
    """Asks the exchange of another process of the fleet without waiting."""

    fleet: 'Fleet' = attrs.field(kw_only=True)
    own_name: str = attrs.field(kw_only=True)

    async def ask(self, host, customer, terms, *, wanted, waiting):
        self.fleet.messages += 1
        if not self.fleet.hears(host, self.own_name):
            return None
        question = AllowanceRequest(
            1,
            customer,
            wanted,
            waiting,
            terms.requests_per_second,
            terms.burst,
            terms.version,
        )
        peer = self.fleet.processes[host].lender.exchange
        reply = peer.answer(decode_allowance(encode_allowance(question)))
        if self.fleet.lost_replies:
            self.fleet.lost_replies -= 1
            return None
        self.fleet.messages += 1
        return Allowance(reply.lent, 0, 0, 0, reply.retry_after_s)


class Process:
    """One process: what it hears, its lender and its limits."""

    def __init__(self, name, fleet):
        """Start without having heard any other."""
        self.name = name
        self.fleet = fleet
        self.heard = {}
        self.inbox = []
        self.frozen_until = 0
        self.customer = fleet.customer
        self.version = fleet.version
        exchange = DirectExchange(
            self._send,
            ExpectedReplies(),
            CustomerLedger(Tenure(name, fleet.clock)),
            self._share,
            fleet=fleet,
            own_name=name,
        )
        self.lender = PeerLender(
            exchange,
            reports=self._reports,
            own_report=lambda: LoadReport(name, name, 0, 0),
            fleet_size=lambda: len(fleet.names),
            clock=fleet.clock,
        )
        self.limits = CustomerLimits(self.lender, fleet.clock)

    @property
    def is_frozen(self):
        return self.frozen_until > self.fleet.clock()

    def read_inbox(self):
        for sender in self.inbox:
            self.heard[sender] = self.fleet.clock()
            self.lender.receive_report(LoadReport(sender, sender, 0, 0))
        self.inbox.clear()

    async def request(self, *, runs=True):
        """Ask for one request; return the Retry-After if it is refused."""
        intent = Intent(
            IntentKind.FORWARD,
            'r',
            None,
            1,
            customer=self.customer,
            routes=RouteTable(self.version, ()),
        )
        try:
            async with admitted(self.limits, intent):
                if not runs:
                    raise OverloadedError('no place')
        except LimitError as exc:
            return exc.retry_after_s
        except OverloadedError:
            return None
        self.fleet.ran_at.append(self.fleet.clock())
        return None

    def _send(self, raw, host):
        self.fleet.messages += 1
        if self.fleet.hears(host, self.name):
            exchange = self.fleet.processes[host].lender.exchange
            exchange.receive(decode_allowance(raw), self.name)

    def _reports(self):
        since = self.fleet.clock() - PEER_TIMEOUT_S
        return {
            name: LoadReport(name, name, 0, 0)
            for name, heard_at in self.heard.items()
            if heard_at > since
        }

    def _share(self):
        return (1 + len(self._reports())) / len(self.fleet.names)


class Fleet:
    """The processes, who hears whom, and the requests that ran.

    :ivar ran_at: clock at each request that ran.
    :ivar groups: processes of different groups do not hear each other.
    """

    def __init__(self, names, customer, seed=1):
        """Start with processes that know each other."""
        self.names = tuple(names)
        self.now = 1000.0
        self.step = 0
        self.customer = customer
        self.version = 1
        self.messages = 0
        self.lost_replies = 0
        self.ran_at = collections.deque()
        self.groups = dict.fromkeys(names, 0)
        self.rng = random.Random(seed)
        self.processes = {}
        for name in names:
            self.start(name)

    def clock(self):
        return self.now

    def start(self, name):
        self.processes[name] = Process(name, self)

    def hears(self, name, sender):
        """Whether a message of a process arrives and is read now."""
        peer = self.processes.get(name)
        is_linked = self.groups[name] == self.groups[sender]
        return is_linked and peer is not None and not peer.is_frozen

    def ran_in_window(self):
        while self.ran_at and self.ran_at[0] <= self.now - WINDOW_S:
            self.ran_at.popleft()
        return len(self.ran_at)

    async def advance(self, duration_s, rates=(), *, run_share=1.0):
        """Run for a while with a demand of each process.

        :param rates: requests a second by process.
        :param run_share: share of the admitted requests that run.
        """
        due = dict.fromkeys(self.names, 0.0)
        for _ in range(round(duration_s / STEP_S)):
            self.now += STEP_S
            self.step += 1
            self._exchange_reports()
            for name, rate in zip(self.names, rates, strict=False):
                due[name] += rate * STEP_S
                process = self.processes.get(name)
                while due[name] >= 1:
                    due[name] -= 1
                    if process is None or process.is_frozen:
                        continue
                    runs = self.rng.random() < run_share
                    await process.request(runs=runs)
            yield

    def _exchange_reports(self):
        for number, name in enumerate(self.names):
            process = self.processes.get(name)
            if process is None or process.is_frozen:
                continue
            process.read_inbox()
            if self.step % CHECK_STEPS == 0:
                process.limits.return_unused()
                process.lender.check()
            if (self.step + number) % HEARTBEAT_STEPS == 0:
                for other, peer in self.processes.items():
                    if (
                        other != name
                        and self.groups[other] == (self.groups[name])
                    ):
                        peer.inbox.append(name)
