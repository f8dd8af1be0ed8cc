"""briarrill.coordination.peer_reports: what the other processes report.

Placement asks for sums over all processes many times for each request, so
each report that arrives only changes the sums by what is new in it.
"""

import collections
import math
import time
from collections.abc import Mapping
from typing import TypeVar

import attrs
from eliot import log_message

from ..protocol.load_reports import LoadReport, short_mark
from ..state.rendezvous import rank

__all__ = ('FleetLoad', 'Peer', 'PeerReports')

# silence after which a process counts as gone; four lost reports
PEER_TIMEOUT_S = 1.0

# time from the last report of a process that fell silent until the runs that
# it left at upstreams are over: an upstream learns of the end of a connection
# only from the other host, so it goes on until an item's output is complete
ORPHAN_S = 2.5

# silence after which a process that is not registered is told nothing more
FORGET_PEER_S = 30.0

_Name = TypeVar('_Name', str, int)


@attrs.define
class Peer:
    """The last report of another process.

    :param direct_at: when a report last came from the process itself.
    """

    report: LoadReport
    heard_at: float
    direct_at: float = 0

    @property
    def is_live(self) -> bool:
        """Whether the process was heard lately, by whatever way."""
        return time.monotonic() - self.heard_at < PEER_TIMEOUT_S


@attrs.define
class FleetLoad:
    """What the live peers have, summed up.

    :param reports: the newest report of each live peer, by process.
    :param online: requests by upstream, and the batch items that silent
        peers left there, since those yield to nobody.
    :param batch: batch items by upstream.
    :param suspects: how many of them suspect an upstream.
    :param delays: seconds to first bytes by upstream, by process.
    :param item_marks: how many of them have a batch item, by its mark.
    """

    reports: dict[str, LoadReport] = attrs.field(factory=dict)
    online: collections.Counter[str] = attrs.field(factory=collections.Counter)
    batch: collections.Counter[str] = attrs.field(factory=collections.Counter)
    suspects: collections.Counter[str] = attrs.field(
        factory=collections.Counter
    )
    delays: dict[str, dict[str, float]] = attrs.field(factory=dict)
    item_marks: collections.Counter[int] = attrs.field(
        factory=collections.Counter
    )

    def replace(self, report: LoadReport) -> None:
        """Count a report instead of the one that its process sent before."""
        self.drop(report.process)
        self.reports[report.process] = report
        if report.delays:
            self.delays[report.process] = report.delays
        self._add(report, 1)

    def drop(self, process: str) -> None:
        """Count a process no more."""
        report = self.reports.pop(process, None)
        self.delays.pop(process, None)
        if report is not None:
            self._add(report, -1)

    def batch_at(self, upstream_id: str) -> dict[str, int]:
        """Return the batch items at an upstream by process."""
        if not self.batch[upstream_id]:
            return {}
        return {
            name: report.batch[upstream_id]
            for name, report in self.reports.items()
            if upstream_id in report.batch
        }

    def delay_s(self, upstream_id: str) -> float:
        """Return the longest delay that a peer tells of an upstream."""
        return max(
            (told.get(upstream_id, 0.0) for told in self.delays.values()),
            default=0.0,
        )

    def add_orphans(self, report: LoadReport, sign: int) -> None:
        """Count what yields to nobody any more, or does so no longer."""
        _add_counts(self.online, report.batch, sign)

    def _add(self, report: LoadReport, sign: int) -> None:
        _add_counts(self.online, report.online, sign)
        _add_counts(self.batch, report.batch, sign)
        _add_counts(self.suspects, dict.fromkeys(report.suspects, 1), sign)
        _add_counts(self.item_marks, dict.fromkeys(report.items, 1), sign)


@attrs.define
class PeerReports:
    """The newest report of each other process.

    :param process: name of this process.
    """

    process: str
    _peers: dict[str, Peer] = attrs.field(factory=dict, init=False)
    _orphans: dict[str, Peer] = attrs.field(factory=dict, init=False)
    _load: FleetLoad = attrs.field(factory=FleetLoad, init=False)
    _check_at: float = attrs.field(default=-math.inf, init=False)

    @property
    def load(self) -> FleetLoad:
        """Return what the live peers report now."""
        now = time.monotonic()
        if now >= self._check_at:
            self._drop_silent(now)
        return self._load

    @property
    def hosts(self) -> set[str]:
        """Return the hosts of the processes that were heard lately."""
        self._forget_silent()
        return {peer.report.host for peer in self._peers.values()}

    @property
    def reachable(self) -> list[LoadReport]:
        """Return the newest reports of the processes heard directly.

        The others are cut off from this process, or will be soon.
        """
        oldest = time.monotonic() - PEER_TIMEOUT_S
        return [
            peer.report
            for peer in self._peers.values()
            if peer.direct_at >= oldest
        ]

    @property
    def directly_heard(self) -> tuple[int, ...]:
        """Return marks of the processes whose own reports arrive here."""
        return tuple(short_mark(report.process) for report in self.reachable)

    def take(self, report: LoadReport, *, is_direct: bool) -> bool:
        """Keep a report; return whether it is news.

        :param is_direct: whether it came from the process itself.
        """
        if report.process == self.process:
            return False
        now = time.monotonic()
        known = self._peers.get(report.process)
        direct_at = now if is_direct else 0
        if known is not None:
            known.direct_at = max(known.direct_at, direct_at)
            if _order(known.report) >= _order(report):
                return False
            direct_at = known.direct_at
        if known is None or not known.is_live:
            log_message('peer:heard', peer=report.process, host=report.host)
        orphan = self._orphans.get(report.process)
        if orphan and orphan.report.incarnation == report.incarnation:
            self._drop_orphans(report.process)
        self._peers[report.process] = Peer(report, now, direct_at)
        self._load.replace(report)
        return True

    def relay_hosts(self, report: LoadReport) -> list[str]:
        """Return the hosts that a process's report is forwarded to.

        Those do not hear the process itself, because a link between them is
        cut; of the processes that hear both sides, one forwards.
        """
        mark = short_mark(report.process)
        return [
            peer.host
            for name, peer in self.load.reports.items()
            if name != report.process
            and mark not in peer.heard
            and self._is_relay(report.process, name)
        ]

    def _is_relay(self, sender: str, receiver: str) -> bool:
        """Tell whether this process is the one that forwards."""
        both = {short_mark(sender), short_mark(receiver)}
        others = [
            name
            for name, report in self.load.reports.items()
            if both <= set(report.heard)
        ]
        ranked = rank(f'{sender}/{receiver}', [self.process, *others])
        return ranked[0] == self.process

    def _drop_silent(self, now: float) -> None:
        """Count silent peers no more, and say when to look again."""
        self._check_at = now + PEER_TIMEOUT_S
        for name, orphan in list(self._orphans.items()):
            until = orphan.heard_at + ORPHAN_S
            if until <= now:
                self._drop_orphans(name)
            else:
                self._check_at = min(self._check_at, until)
        for name in list(self._load.reports):
            peer = self._peers[name]
            if peer.is_live:
                until = peer.heard_at + PEER_TIMEOUT_S
                self._check_at = min(self._check_at, until)
            else:
                self._load.drop(name)
                self._keep_orphans(peer, now)

    def _keep_orphans(self, peer: Peer, now: float) -> None:
        """Count the batch items of a process that has just fallen silent."""
        report = peer.report
        until = peer.heard_at + ORPHAN_S
        if report.is_leaving or not report.batch or until <= now:
            return
        self._drop_orphans(report.process)
        self._orphans[report.process] = peer
        self._check_at = min(self._check_at, until)
        self._load.add_orphans(report, 1)
        log_message(
            'peer:silent', peer=report.process, left=sum(report.batch.values())
        )

    def _drop_orphans(self, process: str) -> None:
        orphan = self._orphans.pop(process, None)
        if orphan is not None:
            self._load.add_orphans(orphan.report, -1)

    def _forget_silent(self) -> None:
        now = time.monotonic()
        for name, peer in list(self._peers.items()):
            if now - peer.heard_at > FORGET_PEER_S:
                self._load.drop(name)
                self._peers.pop(name)


def _add_counts(
    total: collections.Counter[_Name], counts: Mapping[_Name, int], sign: int
) -> None:
    """Add counts, and keep no names whose sum is zero."""
    for name, count in counts.items():
        total[name] += sign * count
        if not total[name]:
            total.pop(name)


def _order(report: LoadReport) -> tuple[int, int]:
    return report.incarnation, report.sequence
