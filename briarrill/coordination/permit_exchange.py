"""briarrill.coordination.permit_exchange: ask peers for permits by UDP."""

from collections.abc import Callable, Iterator

import attrs
import trio

from ..protocol.permits import PermitReply, PermitRequest, encode_permit
from .expected_replies import ExpectedReplies, question_numbers

__all__ = ('PermitExchange',)

# wait for a reply: several round trips between failure domains, and little
# against the latency objective of a request
REPLY_TIMEOUT_S = 0.02


@attrs.define
class _Question:
    """A question without a reply yet."""

    reply: PermitReply | None = None
    is_answered: trio.Event = attrs.field(factory=trio.Event)


@attrs.define
class PermitExchange:
    """Asks the owners of limits for permits, and answers peers.

    :param send: sends a datagram to a host.
    :param decide: answers a peer's question.
    :param expected: told while replies are expected.
    """

    send: Callable[[bytes, str], None]
    decide: Callable[[PermitRequest], PermitReply]
    expected: ExpectedReplies
    _numbers: Iterator[int] = attrs.field(factory=question_numbers, init=False)
    _open: dict[int, _Question] = attrs.field(factory=dict, init=False)

    async def ask(
        self,
        host: str,
        incarnation: str,
        rate_per_s: float,
        max_wait_s: float,
        *,
        is_batch: bool,
    ) -> PermitReply | None:
        """Return the owner's reply, none if it does not come in time.

        :param host: of the owner.
        :param incarnation: of the upstream.
        :param rate_per_s: limit that the upstream named.
        :param max_wait_s: how long the request may wait for its turn.
        """
        number = next(self._numbers)
        question = _Question()
        self._open[number] = question
        request = PermitRequest(
            number, incarnation, rate_per_s, max_wait_s, is_batch
        )
        try:
            self.send(encode_permit(request), host)
            with (
                self.expected.expecting(),
                trio.move_on_after(REPLY_TIMEOUT_S),
            ):
                await question.is_answered.wait()
        finally:
            self._open.pop(number)
        return question.reply

    def receive(self, message: PermitRequest | PermitReply, host: str) -> None:
        """Answer a peer's question, or pass a reply to the task that waits."""
        if isinstance(message, PermitRequest):
            self.send(encode_permit(self.decide(message)), host)
            return
        question = self._open.get(message.number)
        if question is not None:
            question.reply = message
            question.is_answered.set()
