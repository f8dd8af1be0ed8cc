"""briarrill.coordination.load_exchange: who has what at which upstream.

Upstreams admit requests in order of arrival and report their load late. So
each process tells the others what it has in flight, soon after a change and
at least once an interval; a process that is silent counts as gone.
"""

import collections
import contextlib
import random
import socket
import time
from collections.abc import Callable, Iterator

import attrs
import trio
from eliot import log_message

from ..errors import MalformedMessageError
from ..metrics import MALFORMED_MESSAGES
from ..protocol.load_reports import LoadReport, decode_report, encode_report
from .peer_reports import FleetLoad, PeerReports
from .silence import SilenceWatch
from .start_delays import StartDelays

__all__ = ('InFlight', 'LoadExchange')

# a report is sent at least this often
HEARTBEAT_S = 0.25

# least part of the interval; processes do not send in step
MIN_JITTER = 0.8

# shortest pause between two reports, and the part of it that each peer adds,
# so that the reports of a fleet grow with its size and not its square
MIN_PAUSE_S = 0.04
PAUSE_PER_PEER_S = 0.001

# pause before a report that another process must act on
URGENT_PAUSE_S = 0.004

MAX_DATAGRAM_BYTES = 65_536


@attrs.define
class InFlight:
    """Own requests in flight by upstream.

    :param changed: called after each change.
    """

    changed: Callable[[], None]
    online: collections.Counter[str] = attrs.field(factory=collections.Counter)
    batch: collections.Counter[str] = attrs.field(factory=collections.Counter)

    @contextlib.contextmanager
    def counted(self, upstream_id: str, *, is_batch: bool) -> Iterator[None]:
        """Count a request as long as it is at the upstream."""
        counter = self.batch if is_batch else self.online
        counter[upstream_id] += 1
        self.changed()
        try:
            yield
        finally:
            _count_down(counter, upstream_id)
            self.changed()


class LoadExchange:
    """Sends own reports and keeps those of the others.

    :param process: name of this process's instance.
    :param host: IP address that peers reach.
    :param port: UDP port, the same on all instances.
    :param seeds: hosts that are told before the fleet is known.
    :param describe: adds to a report what this process knows.
    """

    def __init__(
        self,
        process: str,
        host: str,
        port: int,
        seeds: tuple[str, ...],
        describe: Callable[[LoadReport], LoadReport],
    ) -> None:
        """Start without peers."""
        self.in_flight = InFlight(self.report_soon)
        self.silence = SilenceWatch()
        self.delays = StartDelays()
        self.on_report: list[Callable[[LoadReport], None]] = []
        self._process = process
        self._host = host
        self._port = port
        self._seeds = seeds
        self.describe = describe
        self._members: dict[str, str] = {}
        self.peers = PeerReports(process)
        self._incarnation = time.time_ns()
        self._sequence = 0
        self._wake = trio.Event()
        self._urgent = trio.Event()

    @property
    def live(self) -> dict[str, LoadReport]:
        """Return the newest report of each live peer."""
        return self.fleet.reports

    @property
    def has_unheard_members(self) -> bool:
        """Whether processes are registered that are not heard."""
        return not self._members.keys() <= self.live.keys()

    @property
    def fleet(self) -> FleetLoad:
        """Return what the live peers have."""
        return self.peers.load

    def online(self, upstream_id: str) -> int:
        """Return the online requests of all processes at an upstream."""
        own = self.in_flight.online[upstream_id]
        return own + self.fleet.online[upstream_id]

    def batch(self, upstream_id: str) -> int:
        """Return the batch items of all processes at an upstream."""
        own = self.in_flight.batch[upstream_id]
        return own + self.fleet.batch[upstream_id]

    def delay_s(self, upstream_id: str) -> float:
        """Return how late an upstream began lately, here or at a peer."""
        told_s = self.fleet.delay_s(upstream_id)
        return max(told_s, self.delays.of(upstream_id))

    def is_suspect(self, upstream_id: str) -> bool:
        """Tell whether an upstream has fallen silent.

        Others' suspicion holds unless this process hears the upstream: a
        link that is cut for one peer does not end it for all.
        """
        if upstream_id in self.silence.suspects:
            return True
        if self.silence.has_just_heard(upstream_id):
            return False
        return upstream_id in self.fleet.suspects

    def set_member(self, name: str, host: str | None) -> None:
        """Take a process that is registered, or is so no more."""
        if host is None:
            self._members.pop(name, None)
        elif name != self._process:
            self._members[name] = host
            if name not in self.live:
                self.report_now()

    def report_soon(self) -> None:
        """Send a report after the shortest pause."""
        self._wake.set()

    def report_now(self) -> None:
        """Send a report at once: batch work must yield a slot."""
        self._urgent.set()
        self._wake.set()

    async def run(self) -> None:
        """Send and receive until cancelled."""
        sock = trio.socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        with sock:
            await sock.bind((self._host, self._port))
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_reports, sock)
                await self._receive(sock)

    def take_report(
        self, report: LoadReport, *, is_direct: bool = True
    ) -> None:
        """Keep a report unless a newer one has come.

        :param is_direct: whether it came from the process itself.
        """
        is_new = report.process not in self.live
        if not self.peers.take(report, is_direct=is_direct):
            return
        if is_new:
            # it must not act before it knows what this process has
            self.report_now()
        for listener in self.on_report:
            listener(report)

    def make_report(self) -> LoadReport:
        """Return the next report of this process."""
        self._sequence += 1
        return self.describe(
            LoadReport(
                process=self._process,
                host=self._host,
                incarnation=self._incarnation,
                sequence=self._sequence,
                online=dict(self.in_flight.online),
                batch=dict(self.in_flight.batch),
                heard=self.peers.directly_heard,
                suspects=self.silence.suspects,
                delays=self.delays.known,
            )
        )

    async def _receive(self, sock: trio.socket.SocketType) -> None:
        while True:
            try:
                raw, address = await sock.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as exc:
                # an ICMP error of an earlier datagram to a stopped process
                log_message('peer:unreachable', reason=repr(exc))
                continue
            await self._take_datagram(sock, raw, address[0])

    async def _take_datagram(
        self, sock: trio.socket.SocketType, raw: bytes, sender: str
    ) -> None:
        """Keep a report, and forward it around a cut."""
        try:
            report = decode_report(raw)
        except MalformedMessageError as exc:
            MALFORMED_MESSAGES.inc()
            log_message('peer:malformed', reason=exc.message)
            return
        is_direct = sender == report.host
        self.take_report(report, is_direct=is_direct)
        for host in self.peers.relay_hosts(report) if is_direct else ():
            await self._send(sock, raw, host)

    async def _send(
        self, sock: trio.socket.SocketType, raw: bytes, host: str
    ) -> None:
        # a report that cannot be sent is made good by the next
        with contextlib.suppress(OSError):
            await sock.sendto(raw, (host, self._port))

    async def _send_reports(self, sock: trio.socket.SocketType) -> None:
        while True:
            hosts = self._hosts()
            report = self.make_report()
            whole = encode_report(report)
            brief = encode_report(
                attrs.evolve(report, items=(), claims=(), held=())
            )
            batch_hosts = {
                peer.host for peer in self.live.values() if peer.runs_batch
            }
            for host in hosts:
                raw = whole if host in batch_hosts else brief
                await self._send(sock, raw, host)
            await self._pause(len(hosts))

    async def _pause(self, hosts: int) -> None:
        """Wait until the next report is due."""
        await trio.sleep(URGENT_PAUSE_S)
        with trio.move_on_after(MIN_PAUSE_S + PAUSE_PER_PEER_S * hosts):
            await self._urgent.wait()
        with trio.move_on_after(HEARTBEAT_S * random.uniform(MIN_JITTER, 1)):
            await self._wake.wait()
        self._wake = trio.Event()
        self._urgent = trio.Event()

    def _hosts(self) -> set[str]:
        """Return where reports go: the fleet, or what may know of it."""
        known = self.peers.hosts | set(self._members.values())
        known.update(self._seeds)
        known.discard(self._host)
        return known


def _count_down(counter: collections.Counter[str], name: str) -> None:
    counter[name] -= 1
    if not counter[name]:
        counter.pop(name)
