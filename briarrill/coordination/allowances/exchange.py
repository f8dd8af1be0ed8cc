"""briarrill.coordination.allowances.exchange: ask holders by UDP."""

from collections.abc import Callable, Iterator

import attrs
import trio

from ...protocol.allowances import (
    AllowanceMessage,
    AllowanceReply,
    AllowanceRequest,
    AllowanceReturn,
    encode_allowance,
)
from ...protocol.messages import Allowance
from ..expected_replies import ExpectedReplies, question_numbers
from .customer_ledger import ALLOWANCE_S, CustomerLedger, RateTerms

__all__ = ('AllowanceExchange',)

# wait for a reply: several round trips between failure domains and the pause
# after which an entry reads its datagrams, a sixth of a latency objective
REPLY_TIMEOUT_S = 0.05


@attrs.define
class _Question:
    """A question without a reply yet."""

    reply: AllowanceReply | None = None
    is_answered: trio.Event = attrs.field(factory=trio.Event)


@attrs.define
class AllowanceExchange:
    """Asks holders for requests of customers, and answers peers.

    :param send: sends a datagram to a host.
    :param expected: told while replies are expected.
    :param ledger: from which peers' questions are answered.
    :param find_share: returns the share of the limits that this process lends.
    """

    send: Callable[[bytes, str], None]
    expected: ExpectedReplies
    ledger: CustomerLedger
    find_share: Callable[[], float]
    _numbers: Iterator[int] = attrs.field(factory=question_numbers, init=False)
    _open: dict[int, _Question] = attrs.field(factory=dict, init=False)

    def record_share(self) -> float:
        """Return the share of the limits that this process lends now."""
        share = self.find_share()
        self.ledger.shares.record(share, self.ledger.tenure.clock())
        return share

    async def ask(
        self,
        host: str,
        customer: str,
        terms: RateTerms,
        *,
        wanted: int,
        waiting: int,
    ) -> Allowance | None:
        """Return what a holder lends, none if no reply comes in time."""
        number = next(self._numbers)
        question = _Question()
        self._open[number] = question
        request = AllowanceRequest(
            number,
            customer,
            wanted,
            waiting,
            terms.requests_per_second,
            terms.burst,
            terms.version,
        )
        try:
            self.send(encode_allowance(request), host)
            with (
                self.expected.expecting(),
                trio.move_on_after(REPLY_TIMEOUT_S),
            ):
                await question.is_answered.wait()
        finally:
            self._open.pop(number)
        reply = question.reply
        if reply is None:
            return None
        return Allowance(
            requests=reply.lent,
            tokens=0,
            in_flight=0,
            duration_s=ALLOWANCE_S,
            retry_after_s=reply.retry_after_s,
        )

    def give_back(self, host: str, customer: str, count: int) -> None:
        """Tell a holder of lent requests that were not used."""
        self.send(encode_allowance(AllowanceReturn(customer, count)), host)

    def receive(self, message: AllowanceMessage, host: str) -> None:
        """Answer a peer, or pass a reply to the task that waits."""
        if isinstance(message, AllowanceRequest):
            self.send(encode_allowance(self.answer(message)), host)
        elif isinstance(message, AllowanceReturn):
            self.ledger.give_back(message.customer, message.count)
        else:
            question = self._open.get(message.number)
            if question is not None:
                question.reply = message
                question.is_answered.set()

    def answer(self, request: AllowanceRequest) -> AllowanceReply:
        """Lend a peer what it asks for."""
        terms = RateTerms(
            request.requests_per_second, request.burst, request.version
        )
        allowance = self.ledger.lend(
            request.customer,
            terms,
            self.record_share(),
            wanted=request.wanted,
            waiting=request.waiting,
        )
        return AllowanceReply(
            request.number, int(allowance.requests), allowance.retry_after_s
        )
