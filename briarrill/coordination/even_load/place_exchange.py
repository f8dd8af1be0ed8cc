"""briarrill.coordination.even_load.place_exchange: ask lenders for places."""

import collections
import time
from collections.abc import Callable, Iterator

import attrs
import trio
from eliot import log_message

from ...metrics import PLACES
from ...protocol.place_questions import (
    PlaceEnd,
    PlaceMessage,
    PlaceQuestion,
    PlaceReply,
    encode_place,
)
from ..expected_replies import ExpectedReplies, question_numbers
from ..placement import UpstreamCandidate
from .lent_places import LentPlaces

__all__ = ('PlaceExchange',)

# wait for a reply: several round trips between failure domains, and little
# against the latency objective of a request
REPLY_TIMEOUT_S = 0.02

# questions in a row without a reply after which a lender is not asked for a
# time; load reports of a silent process count no longer after the same time
MAX_MISSED_REPLIES = 2
SILENT_LENDER_S = 1.0


@attrs.define
class _Question:
    """A question without a reply yet."""

    reply: PlaceReply | None = None
    is_answered: trio.Event = attrs.field(factory=trio.Event)


@attrs.define
class PlaceExchange:
    """Asks lenders for places, and answers peers.

    :param send: sends a datagram to a host.
    :param lent: the places that this process lends.
    :param expected: told while replies are expected.
    """

    send: Callable[[bytes, str], None]
    lent: LentPlaces
    expected: ExpectedReplies
    _numbers: Iterator[int] = attrs.field(factory=question_numbers, init=False)
    _open: dict[int, _Question] = attrs.field(factory=dict, init=False)
    _missed: collections.Counter[str] = attrs.field(
        factory=collections.Counter, init=False
    )
    _silent_until: dict[str, float] = attrs.field(factory=dict, init=False)

    async def ask(
        self, host: str, candidates: list[UpstreamCandidate]
    ) -> UpstreamCandidate | None:
        """Return the lender's choice with its load, none without a reply.

        :param host: of the lender.
        :param candidates: of its group, at least one.
        """
        if self._silent_until.get(host, 0) > time.monotonic():
            return None
        number = next(self._numbers)
        question = _Question()
        self._open[number] = question
        try:
            self.send(encode_place(_make_question(number, candidates)), host)
            with (
                self.expected.expecting(),
                trio.move_on_after(REPLY_TIMEOUT_S),
            ):
                await question.is_answered.wait()
        finally:
            self._open.pop(number)
        if question.reply is None:
            self._record_miss(host)
            return None
        self._missed.pop(host, None)
        PLACES.labels('lent').inc()
        return _find_chosen(question.reply, candidates)

    def tell_end(self, host: str, upstream_id: str) -> None:
        """Tell a lender that a request at an upstream has ended."""
        self.send(encode_place(PlaceEnd(upstream_id)), host)

    def receive(self, message: PlaceMessage, host: str) -> None:
        """Answer a question, record an end, or pass a reply to its task."""
        if isinstance(message, PlaceQuestion):
            self.send(encode_place(self.lent.lend(message, host)), host)
        elif isinstance(message, PlaceEnd):
            self.lent.record_end(message.upstream_id, host)
        else:
            question = self._open.get(message.number)
            if question is not None:
                question.reply = message
                question.is_answered.set()

    def _record_miss(self, host: str) -> None:
        """Record that a lender did not reply in time."""
        PLACES.labels('silent').inc()
        self._missed[host] += 1
        if self._missed[host] >= MAX_MISSED_REPLIES:
            self._missed.pop(host)
            self._silent_until[host] = time.monotonic() + SILENT_LENDER_S
            log_message('placement:lender-silent', host=host)


def _make_question(
    number: int, candidates: list[UpstreamCandidate]
) -> PlaceQuestion:
    ordered = sorted(candidates, key=lambda one: not one.is_local)
    return PlaceQuestion(
        number,
        tuple(one.name for one in ordered),
        tuple(one.slots for one in ordered),
        tuple(one.speed for one in ordered),
        tuple(one.saved_share for one in ordered),
        sum(one.is_local for one in ordered),
    )


def _find_chosen(
    reply: PlaceReply, candidates: list[UpstreamCandidate]
) -> UpstreamCandidate | None:
    """Return the candidate that a reply names, with its load."""
    for one in candidates:
        if one.name == reply.upstream_id:
            return attrs.evolve(one, online=reply.online, batch=reply.batch)
    return None
