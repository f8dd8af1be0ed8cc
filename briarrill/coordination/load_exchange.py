"""briarrill.coordination.load_exchange: share in-flight counts by UDP.

Upstreams admit requests in order of arrival and report their load late. So
each process sends its in-flight requests per upstream to all the others. A
process that sends no report for a while counts as gone.
"""

import collections
import contextlib
import socket
import time
from collections.abc import Callable, Iterator

import attrs
import trio
from eliot import log_message

from ..errors import MalformedMessageError
from ..metrics import MALFORMED_MESSAGES
from ..protocol.demand_news import DemandNews
from ..protocol.load_reports import LoadReport, decode_report, encode_report
from ..transport.addresses import is_address
from ..transport.task_errors import log_unexpected_errors
from .allowances.customer_ledger import CustomerLedger
from .allowances.exchange import AllowanceExchange
from .allowances.peer_lender import PeerLender
from .allowances.tenure import Tenure
from .capacity.knowledge import UpstreamKnowledge, UpstreamLoad
from .even_load.lent_places import LentPlaces
from .even_load.place_exchange import PlaceExchange
from .expected_replies import ExpectedReplies
from .limit_sharing import LimitSharing, heard_seed_share, heard_share
from .load_prober import LoadProber
from .origin_sharing import OriginSharing
from .peer_messages import PeerMessages
from .peer_reports import PeerLoad, PeerReports
from .permit_exchange import PermitExchange
from .report_sender import ReportSender, report_pause_s
from .silence import SilenceDetector
from .start_delays import StartDelays

__all__ = ('InFlight', 'LoadExchange')

MAX_DATAGRAM_BYTES = 65_536


@attrs.define
class InFlight:
    """In-flight requests of this process by upstream.

    :param on_change: called after each change of a count.
    """

    on_change: Callable[[], None]
    online: collections.Counter[str] = attrs.field(factory=collections.Counter)
    batch: collections.Counter[str] = attrs.field(factory=collections.Counter)
    online_tokens: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    batch_tokens: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )

    @property
    def tokens(self) -> dict[str, int]:
        """Return the known tokens of all, of which a process runs one kind."""
        return dict(+(self.online_tokens + self.batch_tokens))

    @contextlib.contextmanager
    def counted(
        self, upstream_id: str, *, is_batch: bool, tokens: int = 0
    ) -> Iterator[None]:
        """Count a request as in flight inside the ``with`` block.

        :param tokens: that it may hold, default none or not known.
        """
        counter = self.batch if is_batch else self.online
        counted_tokens = self.batch_tokens if is_batch else self.online_tokens
        try:
            with (
                _added(counter, upstream_id, 1),
                _added(counted_tokens, upstream_id, tokens),
            ):
                self.on_change()
                yield
        finally:
            self.on_change()


class LoadExchange:
    """Sends this process's load reports and stores those of its peers.

    :param process: name of this process's instance.
    :param host: IP address at which peers reach this process.
    :param port: UDP port, the same on all instances.
    :param seeds: hosts that get reports before the fleet is known.
    :param complete_report: fills in report fields that this class does not
        know.
    :param receive_pause_s: pause after which arrived reports are read
        together, default none.
    :ivar make_demand_news: returns the demand of customers that this process
        reports, by default none.
    """

    def __init__(
        self,
        process: str,
        host: str,
        port: int,
        seeds: tuple[str, ...],
        complete_report: Callable[[LoadReport], LoadReport],
        *,
        receive_pause_s: float = 0,
    ) -> None:
        """Start without peers."""
        self.in_flight = InFlight(self.schedule_report)
        self.silence = SilenceDetector()
        self.delays = StartDelays()
        self.make_demand_news: Callable[[], DemandNews | None] = _no_news
        self._process = process
        self._host = host
        self._port = port
        self._seeds = seeds
        self.complete_report = complete_report
        self._receive_pause_s = receive_pause_s
        self._members: dict[str, str] = {}
        self._knows_members = False
        self.peers = PeerReports(process)
        self._incarnation = time.time_ns()
        self._sequence = 0
        self._sock: socket.socket | None = None
        self._expected_replies = ExpectedReplies()
        self.knowledge = UpstreamKnowledge(
            lambda name: _load_at(self.in_flight, self.peer_load, name)
        )

        def find_share() -> float:
            if self._knows_members:
                return heard_share(self._members, self.live_reports)
            live_hosts = [report.host for report in self.live_reports.values()]
            return heard_seed_share(host, seeds, live_hosts)

        expected = self._expected_replies
        self.messages = PeerMessages(
            prober=LoadProber(
                self._send,
                self.online,
                self.batch,
                expected,
                self.knowledge.tokens_at,
            ),
            places=PlaceExchange(
                self._send, LentPlaces(self.online, self.batch), expected
            ),
            permits=PermitExchange(
                self._send,
                lambda request: self.limits.decide(request),
                expected,
            ),
            origins=OriginSharing(
                process,
                reports=lambda: self.live_reports,
                send=self._send,
                expected=expected,
            ),
            lender=PeerLender(
                AllowanceExchange(
                    self._send,
                    expected,
                    CustomerLedger(Tenure(process)),
                    find_share,
                ),
                reports=lambda: self.live_reports,
                own_report=lambda: self.complete_report(
                    LoadReport(process, host, 0, 0)
                ),
                fleet_size=lambda: 1 + len(self._members or self.live_reports),
            ),
        )
        self.peers.on_report.append(self.messages.lender.receive_report)
        self.limits = LimitSharing(
            process,
            reports=lambda: self.live_reports,
            is_preferred=lambda: _may_own_limits(
                complete_report(LoadReport(process, host, 0, 0))
            ),
            share=find_share,
            exchange=self.messages.permits,
            on_grant=self.schedule_report,
        )
        self._sender = ReportSender(
            port,
            self.make_report,
            self._report_hosts,
            # while none is known, every host may have a batch process
            lambda: self.peer_load.batch_hosts or self._report_hosts(),
        )

    @property
    def live_reports(self) -> dict[str, LoadReport]:
        """Return the newest report of each live peer, by process name."""
        return self.peer_load.reports

    @property
    def has_silent_members(self) -> bool:
        """Whether a registered process sends no reports."""
        return not self._members.keys() <= self.live_reports.keys()

    @property
    def peer_load(self) -> PeerLoad:
        """Return the summed load of the live peers."""
        return self.peers.load

    @property
    def mean_report_age_s(self) -> float:
        """Return the mean age of the peers' reports while load changes."""
        return report_pause_s(len(self.live_reports)) / 2

    def online(self, upstream_id: str) -> int:
        """Return the online requests of all processes at an upstream."""
        own = self.in_flight.online[upstream_id]
        return own + self.peer_load.online[upstream_id]

    def batch(self, upstream_id: str) -> int:
        """Return the batch items of all processes at an upstream."""
        own = self.in_flight.batch[upstream_id]
        return own + self.peer_load.batch[upstream_id]

    def delay_s(self, upstream_id: str) -> float:
        """Return an upstream's recent time to first bytes, 0 if normal.

        It is the longest that this process or a live peer measured.
        """
        peer_delay_s = self.peer_load.delay_s(upstream_id)
        return max(peer_delay_s, self.delays.recent_delay_s(upstream_id))

    def is_suspect(self, upstream_id: str) -> bool:
        """Tell whether an upstream is suspected to be unresponsive.

        A peer's suspicion counts unless this process has just received bytes
        from the upstream: a link that is cut for one peer must not exclude
        the upstream for all.
        """
        if upstream_id in self.silence.suspects:
            return True
        if self.silence.has_recent_bytes(upstream_id):
            return False
        return upstream_id in self.peer_load.suspects

    def update_member(self, name: str, host: str | None) -> None:
        """Add a registered process, or remove it if ``host`` is none."""
        self._knows_members = True
        if host is None:
            self._members.pop(name, None)
            self.peers.update_member(name, is_registered=False)
        elif name != self._process:
            self._members[name] = host
            self.peers.update_member(name, is_registered=True)
            if name not in self.live_reports:
                self.schedule_urgent_report()

    def schedule_report(self) -> None:
        """Have a report sent after the shortest regular pause."""
        self._sender.schedule()

    def schedule_urgent_report(self) -> None:
        """Have a report sent to batch processes without the pause.

        They act on it, for instance by preempting batch items.
        """
        self._sender.schedule_urgent()

    async def run(self) -> None:
        """Send and receive reports until cancelled."""
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            sock.setblocking(False)
            sock.bind((self._host, self._port))
            self._sock = sock
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._sender.run, sock)
                nursery.start_soon(self.messages.lender.run)
                while True:
                    await trio.lowlevel.wait_readable(sock)
                    self._receive_all(sock)
                    with trio.move_on_after(self._receive_pause_s):
                        await self._expected_replies.wait()

    def report_to(self, host: str) -> None:
        """Send the current report to one peer at once."""
        self._send(encode_report(self.make_report()), host)

    def receive_report(
        self, report: LoadReport, *, is_direct: bool = True
    ) -> None:
        """Store a peer's report and notify the listeners, unless it is stale.

        :param is_direct: whether it came from the process itself.
        """
        is_new = report.process not in self.live_reports
        if not self.peers.store(report, is_direct=is_direct):
            return
        if is_new:
            # a new peer must not act before it knows this process's load
            self.schedule_urgent_report()
        self.messages.places.lent.record_report(report.host)
        self.limits.receive_report(report)
        self.knowledge.receive_report(report)
        for listener in self.peers.on_report:
            listener(report)

    def make_report(self) -> LoadReport:
        """Build this process's report with the next sequence number."""
        self._sequence += 1
        report = self.knowledge.complete_report(
            LoadReport(
                process=self._process,
                host=self._host,
                incarnation=self._incarnation,
                sequence=self._sequence,
                online=dict(self.in_flight.online),
                batch=dict(self.in_flight.batch),
                tokens=self.in_flight.tokens,
                unheard=self.peers.unheard_hashes,
                suspects=self.silence.suspects,
                delays=self.delays.recent_delays_s,
                limit_news=self.limits.news(),
                demand_news=self.make_demand_news(),
            )
        )
        return self.complete_report(report)

    def _receive_all(self, sock: socket.socket) -> None:
        """Process the datagrams that have arrived; log socket errors."""
        while True:
            try:
                raw, address = sock.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as exc:
                # ICMP error for an earlier datagram to a stopped process
                log_message('peer:unreachable', reason=repr(exc))
                continue
            with log_unexpected_errors('peer:failed'):
                self._process_datagram(sock, raw, address[0])

    def _process_datagram(
        self, sock: socket.socket, raw: bytes, sender: str
    ) -> None:
        """Store a received report and forward it around cut links.

        Malformed datagrams are counted and dropped.
        """
        try:
            if self.messages.accept(raw, sender):
                return
            report = _read_report(raw)
        except MalformedMessageError as exc:
            MALFORMED_MESSAGES.inc()
            log_message('peer:malformed', reason=exc.message)
            return
        is_direct = sender == report.host
        self.receive_report(report, is_direct=is_direct)
        for host in self.peers.relay_hosts(report) if is_direct else ():
            self._sender.send(sock, raw, host)

    def _send(self, raw: bytes, host: str) -> None:
        """Send a datagram; nothing is sent before the exchange runs."""
        if self._sock is not None:
            self._sender.send(self._sock, raw, host)

    def _report_hosts(self) -> set[str]:
        """Return the hosts to send to: peers, registered processes, seeds."""
        targets = self.peers.hosts | set(self._members.values())
        targets.update(self._seeds)
        targets.discard(self._host)
        return targets


def _may_own_limits(own: LoadReport) -> bool:
    """Whether a process runs batch items and is not draining."""
    return own.runs_batch and not own.is_leaving


@contextlib.contextmanager
def _added(
    counter: collections.Counter[str], name: str, count: int
) -> Iterator[None]:
    """Add to a count inside the ``with`` block."""
    counter[name] += count
    try:
        yield
    finally:
        counter[name] -= count
        if not counter[name]:
            counter.pop(name)


def _load_at(own: InFlight, peers: PeerLoad, name: str) -> UpstreamLoad:
    """Return the requests of all processes at an upstream."""
    return UpstreamLoad(
        online=own.online[name] + peers.online[name],
        batch=own.batch[name] + peers.batch[name],
        online_tokens=own.online_tokens[name] + peers.tokens[name],
        batch_tokens=own.batch_tokens[name] + peers.batch_tokens[name],
    )


def _no_news() -> None:
    """Report no demand."""


def _read_report(raw: bytes) -> LoadReport:
    """Decode a report of a process to which reports can be sent.

    :raises MalformedMessageError: it is none.
    """
    report = decode_report(raw)
    if not is_address(report.host):
        raise MalformedMessageError(f'{report.host!r} is no IPv4 address')
    return report
