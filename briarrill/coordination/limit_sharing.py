"""briarrill.coordination.limit_sharing: keep limits over all processes.

Each limited upstream has an owner among the live processes, the same for all
that hear the same processes. A request to such an upstream needs a permit of
its owner. All other requests are sent without a question.
"""

from collections.abc import Callable, Collection, Iterable, Mapping

import attrs
import trio
from eliot import log_message

from ..errors import MalformedMessageError
from ..metrics import MALFORMED_MESSAGES
from ..protocol.limit_news import LimitNews
from ..protocol.load_reports import LoadReport
from ..protocol.permits import PermitReply, PermitRequest
from ..state.rendezvous import rank_nodes
from ..transport.http_messages import ResponseHead
from .grants import Grant, GrantBook
from .permit_exchange import PermitExchange
from .relay_protocol import RelayProtocol
from .request_limits import RequestLimits

__all__ = ('LimitSharing', 'choose_owner', 'heard_share', 'heard_seed_share')

# bounds of the time for which an upstream gets no question after a refusal; a
# place may become free sooner than the owner expected
MIN_BLOCK_S = 0.02
MAX_BLOCK_S = 1.0

# the same after an owner did not reply; a silent one is soon replaced
NO_REPLY_BLOCK_S = 0.1


def choose_owner(
    incarnation: str,
    process: str,
    reports: Iterable[LoadReport],
    *,
    is_preferred: bool,
) -> str:
    """Return the name of the process that decides about a limit.

    Batch processes come first, which are fewer and read messages sooner.

    :param process: name of this process.
    :param reports: newest reports of the live peers.
    :param is_preferred: whether this process runs batch items and is not
        draining.
    """
    staying = [report for report in reports if not report.is_leaving]
    names = [report.process for report in staying if report.runs_batch]
    if is_preferred:
        names.append(process)
    if not names:
        names = [process, *(report.process for report in staying)]
    return rank_nodes(incarnation, names)[0]


def heard_share(
    members: Mapping[str, str], live: Mapping[str, object]
) -> float:
    """Return the share of the fleet that this process hears.

    :param members: the other registered processes, by name.
    :param live: the processes whose reports come, by name.
    """
    if not members:
        return 1
    heard = sum(name in live for name in members)
    return (1 + heard) / (1 + len(members))


def heard_seed_share(
    host: str, seeds: Collection[str], live_hosts: Collection[str]
) -> float:
    """Return the share of the fleet that a process hears, by the seeds alone.

    All processes have the same seeds. One that is and hears none of them
    counts as one process beside them.

    :param host: of this process.
    :param seeds: hosts that processes ask for the others.
    :param live_hosts: those whose reports come.
    """
    expected = set(seeds)
    if not expected:
        return 1
    heard = expected.intersection((host, *live_hosts))
    return len(heard) / len(expected) or 1 / (1 + len(expected))


@attrs.define
class LimitSharing:
    """Asks for permits, and decides about limits that this process owns.

    :param process: name of this process.
    :param reports: returns the newest reports of the live peers, by name.
    :param is_preferred: tells whether this process runs batch items and is
        not draining.
    :param share: returns the share of the fleet that this process hears.
    :param exchange: asks other owners.
    :param on_grant: called after each grant to a request.
    """

    process: str
    reports: Callable[[], Mapping[str, LoadReport]]
    is_preferred: Callable[[], bool]
    share: Callable[[], float]
    exchange: PermitExchange
    on_grant: Callable[[], None]
    limits: RequestLimits = attrs.field(factory=RequestLimits, init=False)
    book: GrantBook = attrs.field(factory=GrantBook, init=False)

    def record_response(
        self, protocol: RelayProtocol, incarnation: str, head: ResponseHead
    ) -> None:
        """Record the limit that a response names, or that it names none.

        One that cannot be read changes nothing.

        :param incarnation: of the upstream.
        """
        try:
            rate_per_s = protocol.request_limit_per_s(head)
        except MalformedMessageError as exc:
            MALFORMED_MESSAGES.inc()
            log_message(
                'upstream:limit-unreadable',
                incarnation=incarnation,
                reason=exc.message,
            )
        else:
            self.limits.record_response(incarnation, rate_per_s)

    async def acquire(
        self, incarnation: str, *, max_wait_s: float, is_batch: bool = False
    ) -> Grant:
        """Get a permit for one request and wait for its turn.

        :param incarnation: of the upstream, which may have no limit.
        :param max_wait_s: how long the request may wait.
        """
        rate_per_s = self.limits.rate_per_s(incarnation)
        if rate_per_s is None:
            return Grant(is_granted=True, delay_s=0)
        grant = await self._ask_owner(
            incarnation, rate_per_s, max_wait_s, is_batch=is_batch
        )
        if grant.is_granted:
            await trio.sleep(grant.delay_s)
        else:
            block_s = min(MAX_BLOCK_S, max(MIN_BLOCK_S, grant.delay_s))
            self.limits.block(incarnation, block_s)
        return grant

    def decide(self, request: PermitRequest) -> PermitReply:
        """Answer a peer that takes this process for the owner."""
        grant = self._decide(
            request.incarnation,
            request.rate_per_s,
            request.max_wait_s,
            is_batch=request.is_batch,
        )
        return PermitReply(request.number, grant.is_granted, grant.delay_s)

    def news(self) -> LimitNews | None:
        """Return what peers may not know yet, if anything."""
        news = LimitNews(self.limits.news(), self.book.granted())
        return news if news.limits or news.granted else None

    def receive_report(self, report: LoadReport) -> None:
        """Record what a peer tells of limits and grants."""
        news = report.limit_news
        if news is not None:
            self.limits.receive_news(news.limits)
            self.book.record_peer(
                report.process, report.incarnation, news.granted
            )

    async def _ask_owner(
        self,
        incarnation: str,
        rate_per_s: float,
        max_wait_s: float,
        *,
        is_batch: bool,
    ) -> Grant:
        reports = self.reports()
        owner = choose_owner(
            incarnation,
            self.process,
            reports.values(),
            is_preferred=self.is_preferred(),
        )
        if owner == self.process:
            return self._decide(
                incarnation, rate_per_s, max_wait_s, is_batch=is_batch
            )
        reply = await self.exchange.ask(
            reports[owner].host,
            incarnation,
            rate_per_s,
            max_wait_s,
            is_batch=is_batch,
        )
        if reply is None:
            return Grant(is_granted=False, delay_s=NO_REPLY_BLOCK_S)
        return Grant(reply.is_granted, reply.delay_s)

    def _decide(
        self,
        incarnation: str,
        rate_per_s: float,
        max_wait_s: float,
        *,
        is_batch: bool,
    ) -> Grant:
        grant = self.book.ask(
            incarnation,
            rate_per_s,
            max_wait_s=max_wait_s,
            is_batch=is_batch,
            share=self.share(),
        )
        if grant.is_granted:
            self.on_grant()
        return grant
