"""briarrill.coordination.peer_reports: newest load report of each peer.

Placement reads sums over all peers many times for each request. So the sums
are kept up to date: each report that arrives replaces the counts of the
previous one from its process.
"""

import collections
import math
import time
from collections.abc import Callable, Mapping, Sequence
from typing import TypeVar

import attrs
from eliot import log_message

from ..protocol.load_reports import LoadReport, short_hash
from ..state.keys import ROOT_PREFIX
from ..state.rendezvous import rank_nodes

__all__ = ('PeerLoad', 'PeerReports', 'PeerState')

# time without reports after which a peer counts as gone; four lost reports
PEER_TIMEOUT_S = 1.0

# time from the last report of a peer until its batch items at upstreams have
# ended: after a power loss its host does not close the connections, so an
# upstream runs each item until the output is complete
ORPHAN_TIMEOUT_S = 2.5

# time without reports after which a peer that is not registered gets no
# more reports
PEER_EXPIRY_S = 30.0

# time for which a process must have been heard before its reports are
# forwarded; within it all peers send a report
RELAY_DELAY_S = 0.4

_Name = TypeVar('_Name', str, int)


@attrs.define
class PeerState:
    """The newest report of another process.

    :param received_at: monotonic time at which the report arrived.
    :param direct_received_at: monotonic time at which a report last came
        from the process itself, not forwarded by another.
    :param direct_since: monotonic time since which reports come from the
        process itself without a pause of ``PEER_TIMEOUT_S``.
    """

    report: LoadReport
    received_at: float
    direct_received_at: float = 0
    direct_since: float = 0

    @property
    def is_live(self) -> bool:
        """Whether a report came within the timeout, direct or forwarded."""
        return time.monotonic() - self.received_at < PEER_TIMEOUT_S

    def record_direct_report(self, now: float) -> None:
        """Record that a report came from the process itself."""
        if now - self.direct_received_at >= PEER_TIMEOUT_S:
            self.direct_since = now
        self.direct_received_at = now


@attrs.define
class PeerLoad:
    """Sums over the newest reports of the live peers.

    :param reports: the newest report of each live peer, by process.
    :param online: online requests by upstream, plus orphaned batch items of
        peers that went silent, which cannot be preempted any more.
    :param batch: batch items by upstream.
    :param tokens: that the online requests may hold, by upstream.
    :param batch_tokens: that the batch items may hold, by upstream.
    :param suspects: number of peers that suspect an upstream.
    :param delays: seconds to first bytes by upstream, by process.
    :param item_hashes: number of peers that run a batch item, by its hash.
    :param unheard: number of peers that do not hear a process directly, by
        its hash.
    """

    reports: dict[str, LoadReport] = attrs.field(factory=dict)
    online: collections.Counter[str] = attrs.field(factory=collections.Counter)
    batch: collections.Counter[str] = attrs.field(factory=collections.Counter)
    tokens: collections.Counter[str] = attrs.field(factory=collections.Counter)
    batch_tokens: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    suspects: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    delays: dict[str, dict[str, float]] = attrs.field(factory=dict)
    item_hashes: collections.Counter[int] = attrs.field(
        factory=collections.Counter
    )
    unheard: collections.Counter[int] = attrs.field(
        factory=collections.Counter
    )

    @property
    def batch_hosts(self) -> set[str]:
        """Return the hosts of the batch processes."""
        return {
            report.host
            for report in self.reports.values()
            if report.runs_batch
        }

    @property
    def item_hosts(self) -> dict[str, str]:
        """Return the hosts of the processes that start items, by name."""
        return {
            name: report.host
            for name, report in self.reports.items()
            if report.runs_batch
            and not report.is_leaving
            and ROOT_PREFIX in report.connected
        }

    def replace(self, report: LoadReport) -> None:
        """Replace the counts of a process's previous report."""
        self.remove(report.process)
        self.reports[report.process] = report
        if report.delays:
            self.delays[report.process] = report.delays
        self._add_report(report, 1)

    def remove(self, process: str) -> None:
        """Remove a process's report and its counts."""
        report = self.reports.pop(process, None)
        self.delays.pop(process, None)
        if report is not None:
            self._add_report(report, -1)

    def batch_at(self, upstream_id: str) -> dict[str, int]:
        """Return the number of batch items at an upstream by process."""
        if not self.batch[upstream_id]:
            return {}
        return {
            name: report.batch[upstream_id]
            for name, report in self.reports.items()
            if upstream_id in report.batch
        }

    def delay_s(self, upstream_id: str) -> float:
        """Return the longest delay that a peer reports for an upstream."""
        return max(
            (delays.get(upstream_id, 0.0) for delays in self.delays.values()),
            default=0.0,
        )

    def add_orphans(self, report: LoadReport, sign: int) -> None:
        """Count a silent peer's batch items as online requests.

        :param sign: 1 to add the items, -1 to subtract them again.
        """
        _add_counts(self.online, report.batch, sign)
        _add_counts(self.tokens, report.tokens, sign)

    def _add_report(self, report: LoadReport, sign: int) -> None:
        """Add a report's counts to the sums, or subtract them for -1."""
        _add_counts(self.online, report.online, sign)
        _add_counts(self.batch, report.batch, sign)
        tokens = self.batch_tokens if report.runs_batch else self.tokens
        _add_counts(tokens, report.tokens, sign)
        _add_counts(self.suspects, dict.fromkeys(report.suspects, 1), sign)
        _add_counts(self.item_hashes, dict.fromkeys(report.items, 1), sign)
        _add_counts(self.unheard, dict.fromkeys(report.unheard, 1), sign)


@attrs.define
class PeerReports:
    """Stores the newest report of each other process.

    :param process: name of this process.
    :ivar on_report: called with each report that is stored.
    """

    process: str
    on_report: list[Callable[[LoadReport], None]] = attrs.field(
        factory=list, init=False
    )
    _peers: dict[str, PeerState] = attrs.field(factory=dict, init=False)
    _orphans: dict[str, PeerState] = attrs.field(factory=dict, init=False)
    _member_since: dict[str, float] = attrs.field(factory=dict, init=False)
    _load: PeerLoad = attrs.field(factory=PeerLoad, init=False)
    _next_check_at: float = attrs.field(default=-math.inf, init=False)

    @property
    def load(self) -> PeerLoad:
        """Return the summed load of the peers that are live now."""
        now = time.monotonic()
        if now >= self._next_check_at:
            self._remove_timed_out(now)
        return self._load

    @property
    def hosts(self) -> set[str]:
        """Return the hosts of the peers that have not expired."""
        self._remove_expired()
        return {peer.report.host for peer in self._peers.values()}

    @property
    def reachable(self) -> list[LoadReport]:
        """Return the newest reports of the peers whose reports come directly.

        Reports of all other peers are forwarded or have stopped, so this
        process probably cannot connect to them.
        """
        min_direct_at = time.monotonic() - PEER_TIMEOUT_S
        return [
            peer.report
            for peer in self._peers.values()
            if peer.direct_received_at >= min_direct_at
        ]

    @property
    def unheard_hashes(self) -> tuple[int, ...]:
        """Return the hashes of known processes that are not heard directly.

        A process that has just become known is not among them.
        """
        min_direct_at = time.monotonic() - PEER_TIMEOUT_S
        silent_peers = [
            name
            for name, peer in self._peers.items()
            if peer.direct_received_at < min_direct_at
        ]
        silent_members = [
            name
            for name, since in self._member_since.items()
            if since < min_direct_at and name not in self._peers
        ]
        return tuple(map(short_hash, silent_peers + silent_members))

    def update_member(self, name: str, *, is_registered: bool) -> None:
        """Expect reports of a registered process, or no longer."""
        if is_registered:
            self._member_since.setdefault(name, time.monotonic())
        else:
            self._member_since.pop(name, None)

    def store(self, report: LoadReport, *, is_direct: bool) -> bool:
        """Store a report; return whether it is newer than the stored one.

        This process's own reports are ignored.

        :param is_direct: whether it came from the process itself.
        """
        if report.process == self.process:
            return False
        now = time.monotonic()
        previous = self._peers.get(report.process)
        if previous is not None and is_direct:
            previous.record_direct_report(now)
        if previous is None:
            direct_at = now if is_direct else 0
            newest = PeerState(report, now, direct_at, direct_at)
        elif _replaces(report, previous, is_direct=is_direct):
            newest = PeerState(
                report, now, previous.direct_received_at, previous.direct_since
            )
        else:
            return False
        if previous is None or not previous.is_live:
            log_message('peer:heard', peer=report.process, host=report.host)
        orphan = self._orphans.get(report.process)
        if orphan and orphan.report.incarnation == report.incarnation:
            self._remove_orphans(report.process)
        self._peers[report.process] = newest
        self._load.replace(report)
        return True

    def relay_hosts(self, report: LoadReport) -> list[str]:
        """Return the hosts to which this process forwards a peer's report.

        They are the live peers that do not receive it directly because a
        link is cut. Of the processes that receive from both ends of the
        link, only one forwards. Nothing is forwarded for a process that was
        silent until a moment ago: its peers have not reported yet that they
        hear it again.
        """
        sender_hash = short_hash(report.process)
        if not self._load.unheard[sender_hash]:
            return []
        sender = self._peers.get(report.process)
        if sender is None or (
            time.monotonic() - sender.direct_since < RELAY_DELAY_S
        ):
            return []
        live_reports = list(self.load.reports.values())
        return [
            peer.host
            for peer in live_reports
            if sender_hash in peer.unheard
            and peer.process != report.process
            and self._is_relay(report.process, peer.process, live_reports)
        ]

    def _is_relay(
        self, sender: str, receiver: str, live_reports: Sequence[LoadReport]
    ) -> bool:
        """Tell whether this process forwards from sender to receiver.

        The processes that receive from both are ranked; each process computes
        the same order, and the first one forwards.
        """
        endpoints = {sender, receiver}
        endpoint_hashes = set(map(short_hash, endpoints))
        candidates = [
            peer.process
            for peer in live_reports
            if peer.process not in endpoints
            and endpoint_hashes.isdisjoint(peer.unheard)
        ]
        ranked = rank_nodes(
            f'{sender}/{receiver}', [self.process, *candidates]
        )
        return ranked[0] == self.process

    def _remove_timed_out(self, now: float) -> None:
        """Remove timed-out peers and orphans; schedule the next check."""
        self._next_check_at = now + PEER_TIMEOUT_S
        for name, orphan in list(self._orphans.items()):
            expires_at = orphan.received_at + ORPHAN_TIMEOUT_S
            if expires_at <= now:
                self._remove_orphans(name)
            else:
                self._next_check_at = min(self._next_check_at, expires_at)
        for name in list(self._load.reports):
            peer = self._peers[name]
            if peer.is_live:
                expires_at = peer.received_at + PEER_TIMEOUT_S
                self._next_check_at = min(self._next_check_at, expires_at)
            else:
                self._load.remove(name)
                self._add_orphans(peer, now)

    def _add_orphans(self, peer: PeerState, now: float) -> None:
        """Keep counting the batch items of a peer that just timed out.

        A peer that announced its shutdown leaves no items behind.
        """
        report = peer.report
        expires_at = peer.received_at + ORPHAN_TIMEOUT_S
        if report.is_leaving or not report.batch or expires_at <= now:
            return
        self._remove_orphans(report.process)
        self._orphans[report.process] = peer
        self._next_check_at = min(self._next_check_at, expires_at)
        self._load.add_orphans(report, 1)
        log_message(
            'peer:silent', peer=report.process, left=sum(report.batch.values())
        )

    def _remove_orphans(self, process: str) -> None:
        """Stop counting the batch items that a silent peer left."""
        orphan = self._orphans.pop(process, None)
        if orphan is not None:
            self._load.add_orphans(orphan.report, -1)

    def _remove_expired(self) -> None:
        """Remove peers without reports for ``PEER_EXPIRY_S``."""
        now = time.monotonic()
        for name, peer in list(self._peers.items()):
            if now - peer.received_at > PEER_EXPIRY_S:
                self._load.remove(name)
                self._peers.pop(name)


def _add_counts(
    total: collections.Counter[_Name], counts: Mapping[_Name, int], sign: int
) -> None:
    """Add ``sign`` times the counts; remove names whose sum is zero."""
    for name, count in counts.items():
        total[name] += sign * count
        if not total[name]:
            total.pop(name)


def _replaces(
    report: LoadReport, previous: PeerState, *, is_direct: bool
) -> bool:
    """Tell whether a report is newer than the stored one of its process.

    A process that restarts after its clock was set back has an earlier
    incarnation than before. Once the one before is silent, a report that comes
    from the process itself is newer.
    """
    if _sequence_key(report) > _sequence_key(previous.report):
        return True
    is_other = report.incarnation != previous.report.incarnation
    return is_other and is_direct and not previous.is_live


def _sequence_key(report: LoadReport) -> tuple[int, int]:
    return report.incarnation, report.sequence
