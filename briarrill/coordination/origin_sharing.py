"""briarrill.coordination.origin_sharing: share what began each stream.

A caller may take a stream up at any process, also after the one that passed
its first events on has ended. So a few peers, chosen by the stream's key in
different failure domains, are told before the first event is passed on, and
asked when a stream is taken up. Their number does not grow with the fleet.
"""

import collections
from collections.abc import Callable, Iterator, Mapping

import attrs
import trio

from ..protocol.load_reports import LoadReport
from ..protocol.stream_origins import (
    OriginNotice,
    OriginQuestion,
    OriginReply,
    StreamOrigin,
    encode_origin,
)
from ..state.rendezvous import choose_across_domains
from .expected_replies import ExpectedReplies, question_numbers
from .stream_versions import StreamOrigins

__all__ = ('OriginSharing',)

# peers that are told of a stream: datagrams are lost, and peers end
TOLD_PEERS = 4

# peers that are asked; more, since processes may know different peers
ASKED_PEERS = 6

# wait for a reply: a peer reads its datagrams every 30 ms
REPLY_TIMEOUT_S = 0.1


@attrs.define
class _Question:
    """A question without a reply that helps.

    :param missing: number of replies that are missing.
    """

    missing: int
    origin: StreamOrigin | None = None
    is_done: trio.Event = attrs.field(factory=trio.Event)

    def add(self, reply: OriginReply) -> None:
        """Add a reply; one that knows, or the last one, ends the wait."""
        self.missing -= 1
        if reply.is_known:
            self.origin = StreamOrigin(reply.version, reply.service)
        if reply.is_known or not self.missing:
            self.is_done.set()


@attrs.define
class OriginSharing:
    """Tells peers what began streams, asks them and answers them.

    :param process: name of this process.
    :param reports: returns the newest report of each live peer, by name.
    :param send: sends a datagram to a host.
    :param expected: told while replies are expected.
    :ivar failure_domain: this process's.
    """

    process: str
    reports: Callable[[], Mapping[str, LoadReport]]
    send: Callable[[bytes, str], None]
    expected: ExpectedReplies = attrs.field(factory=ExpectedReplies)
    failure_domain: str = ''
    origins: StreamOrigins = attrs.field(factory=StreamOrigins)
    _numbers: Iterator[int] = attrs.field(factory=question_numbers, init=False)
    _open: dict[int, _Question] = attrs.field(factory=dict, init=False)

    def tell(self, stream: int, origin: StreamOrigin) -> None:
        """Record what began a stream, here and at a few peers."""
        self.origins.record(stream, origin)
        raw = encode_origin(
            OriginNotice(stream, origin.version, origin.service)
        )
        for host in self._hosts(stream, TOLD_PEERS):
            self.send(raw, host)

    async def find(self, stream: int) -> StreamOrigin | None:
        """Return what began a stream, none if no process in reach knows."""
        known = self.origins.find(stream)
        hosts = self._hosts(stream, ASKED_PEERS)
        if known is not None or not hosts:
            return known
        number = next(self._numbers)
        question = _Question(len(hosts))
        self._open[number] = question
        raw = encode_origin(OriginQuestion(number, stream))
        try:
            for host in hosts:
                self.send(raw, host)
            with (
                self.expected.expecting(),
                trio.move_on_after(REPLY_TIMEOUT_S),
            ):
                await question.is_done.wait()
        finally:
            self._open.pop(number)
        return question.origin

    def receive(
        self, message: OriginNotice | OriginQuestion | OriginReply, host: str
    ) -> None:
        """Record a peer's notice, answer its question or use its reply."""
        if isinstance(message, OriginNotice):
            self.origins.record(
                message.stream, StreamOrigin(message.version, message.service)
            )
            return
        if isinstance(message, OriginQuestion):
            origin = self.origins.find(message.stream)
            told = origin or StreamOrigin(None)
            reply = OriginReply(
                message.number, origin is not None, told.version, told.service
            )
            self.send(encode_origin(reply), host)
            return
        question = self._open.get(message.number)
        if question is not None:
            question.add(message)

    def _hosts(self, stream: int, count: int) -> list[str]:
        """Return the hosts of peers that are chosen by a stream's key.

        All processes that know the same peers choose the same ones.
        """
        reports = self.reports()
        domains = collections.defaultdict(list)
        domains[self.failure_domain].append(self.process)
        for name, report in reports.items():
            domains[report.failure_domain].append(name)
        chosen = choose_across_domains(str(stream), domains, count + 1)
        peers = [name for name in chosen if name != self.process]
        return [reports[name].host for name in peers[:count]]
