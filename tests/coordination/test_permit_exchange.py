"""Tests of questions for permits and of replies that come late."""

import attrs
import pytest

from briarrill.coordination.expected_replies import ExpectedReplies
from briarrill.coordination.permit_exchange import PermitExchange
from briarrill.protocol.permits import (
    PermitReply,
    PermitRequest,
    decode_permit,
    encode_permit,
)


@attrs.define
class Asker:
    """A process that asks for permits; each question brings replies.

    :param replies: numbers of the questions that are answered late.
    """

    replies: tuple[int, ...] = ()
    asked: list[int] = attrs.field(factory=list)
    exchange: PermitExchange = attrs.field(init=False)

    def decide(self, request):
        raise AssertionError('asked for a permit')

    def send(self, raw, host):
        self.asked.append(decode_permit(raw).number)
        for number in self.replies:
            self.exchange.receive(PermitReply(number, True, 0.0), host)

    async def ask(self):
        return await self.exchange.ask('owner', 'i/1', 2.0, 0, is_batch=False)

    @exchange.default
    def _make_exchange(self):
        return PermitExchange(self.send, self.decide, ExpectedReplies())


async def test_late_grant_to_the_process_before_is_no_permit(autojump_clock):
    """An owner that fell silent answers a process that was killed."""
    before = Asker()
    for _ in range(3):
        assert await before.ask() is None
    restarted = Asker(tuple(before.asked))
    for _ in range(3):
        assert await restarted.ask() is None


async def test_late_grant_of_an_earlier_question_is_no_permit(autojump_clock):
    asker = Asker()
    assert await asker.ask() is None
    asker.replies = tuple(asker.asked)
    assert await asker.ask() is None


@pytest.mark.parametrize('number', [0, 2**62, 2**63 - 1])
def test_messages_carry_all_numbers(number):
    question = PermitRequest(number, 'i/1', 2.0, 0.0, is_batch=False)
    assert decode_permit(encode_permit(question)) == question
    reply = PermitReply(number, is_granted=True, delay_s=0.0)
    assert decode_permit(encode_permit(reply)) == reply
