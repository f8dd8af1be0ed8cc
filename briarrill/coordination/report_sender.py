"""briarrill.coordination.report_sender: send load reports to peers at a pace.

A report follows soon after a change, and at least once per heartbeat
interval. The pause between two reports to all peers grows with their number
up to a limit. Urgent reports are sent without the pause, to the batch
processes, which act on them by preempting items.
"""

import contextlib
import random
import socket
from collections.abc import Callable, Collection

import attrs
import trio

from ..protocol.load_reports import LoadReport, encode_report

__all__ = ('ReportSender',)

# longest interval between two reports
HEARTBEAT_INTERVAL_S = 0.45

# lower bound of the random factor on the interval, which keeps processes
# from sending at the same moment
MIN_JITTER_FACTOR = 0.8

# shortest pause between two reports, the time that each pair of peers adds to
# it, as the reports of a fleet grow with the square of its size, and its
# upper bound: a peer must not time out after one lost report
MIN_REPORT_PAUSE_S = 0.04
REPORT_PAUSE_PER_PAIR_S = 0.00005
MAX_REPORT_PAUSE_S = 0.42

# shortest pause before an urgent report, on which batch processes act at once
MIN_URGENT_PAUSE_S = 0.004


@attrs.define
class ReportSender:
    """Sends this process's load reports.

    The socket does not block.

    :param port: UDP port, the same on all instances.
    :param make_report: returns the current report.
    :param hosts: returns all hosts to send to.
    :param batch_hosts: returns the hosts that may have a batch process.
    """

    port: int
    make_report: Callable[[], LoadReport]
    hosts: Callable[[], set[str]]
    batch_hosts: Callable[[], set[str]]
    _due: trio.Event = attrs.field(factory=trio.Event, init=False)
    _urgent_due: trio.Event = attrs.field(factory=trio.Event, init=False)

    def schedule(self) -> None:
        """Have a report sent after the shortest regular pause."""
        self._due.set()

    def schedule_urgent(self) -> None:
        """Have a report sent to batch processes without the pause."""
        self._urgent_due.set()
        self._due.set()

    async def run(self, sock: socket.socket) -> None:
        """Send reports until cancelled."""
        while True:
            hosts = self.hosts()
            sent_at = trio.current_time()
            self._due = trio.Event()
            self._send_report(sock, hosts)
            pause_s = report_pause_s(len(hosts))
            while await self._wait_urgent(sent_at + pause_s):
                self._send_report(sock, hosts & self.batch_hosts())
            jitter = random.uniform(MIN_JITTER_FACTOR, 1)
            with trio.move_on_at(sent_at + HEARTBEAT_INTERVAL_S * jitter):
                await self._due.wait()

    def send(self, sock: socket.socket, raw: bytes, host: str) -> None:
        """Send an encoded report to a host without waiting."""
        # a report that cannot be sent is superseded by the next one; a host
        # that is no address may raise a ValueError or a TypeError
        with contextlib.suppress(OSError, ValueError, TypeError):
            sock.sendto(raw, (host, self.port))

    def _send_report(
        self, sock: socket.socket, hosts: Collection[str]
    ) -> None:
        """Send the current report, with batch items where they are needed."""
        report = self.make_report()
        full_report = encode_report(report)
        summary = encode_report(
            attrs.evolve(report, items=(), claims=(), held=())
        )
        batch_hosts = self.batch_hosts()
        for host in hosts:
            raw = full_report if host in batch_hosts else summary
            self.send(sock, raw, host)

    async def _wait_urgent(self, until: float) -> bool:
        """Wait for an urgent report; return false if none is due by a time."""
        await trio.sleep(MIN_URGENT_PAUSE_S)
        with trio.move_on_at(until):
            await self._urgent_due.wait()
            self._urgent_due = trio.Event()
            return True
        return False


def report_pause_s(host_count: int) -> float:
    """Return the shortest time between two reports to all hosts."""
    return min(
        MAX_REPORT_PAUSE_S,
        MIN_REPORT_PAUSE_S + REPORT_PAUSE_PER_PAIR_S * host_count**2,
    )
