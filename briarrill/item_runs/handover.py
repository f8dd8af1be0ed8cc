"""briarrill.item_runs.handover: moves items between batch processes.

An item may be preempted at one process while slots become free at upstreams
of another one. The process that starts the item fetches its progress from
the process where it is suspended, which removes it.
"""

import time
from collections.abc import Collection
from urllib.parse import quote, unquote

import attrs
import msgspec
import trio
from eliot import log_message

from ..coordination.batch_shares import is_preferred_runner
from ..coordination.load_exchange import LoadExchange
from ..coordination.state_transfer import request_from_peer
from ..decoding import msgpack_decoder
from ..errors import BriarrillError
from ..protocol.load_reports import short_hash
from ..state.rendezvous import rank_nodes
from .item import ItemProgress, ProgressRecord

__all__ = ('HANDOVER_PATH', 'Handover')

HANDOVER_PATH = '/item-progress/'

# an item that was handed over and runs nowhere may start here again after
# this time, which is several intervals of load reports
HANDOVER_TIMEOUT_S = 1.0

# wait for peers' claims; an urgent report reaches all peers within it
CLAIM_WAIT_S = 0.03

# a live peer replies within one round trip
FETCH_TIMEOUT_S = 0.3

# time after which an item begins anew whose progress is at a peer that does
# not hand it over; its reports may come through others while its link is cut
UNFETCHED_TIMEOUT_S = 1.0

# pause between two attempts after which failures before it do not count
UNFETCHED_EXPIRY_S = 2.0

_RECORD_DECODER = msgpack_decoder(ProgressRecord)

_Key = tuple[str, str]


@attrs.define
class _FailedFetches:
    """Times of the first and the last failed attempt to fetch an item."""

    first_at: float
    last_at: float


@attrs.define
class Handover:
    """Hands items over to peers and fetches items from them.

    :param process: name of this process.
    :param port: port at which all processes serve their peers.
    :param suspended: items of this process that are between two runs.
    """

    process: str
    load: LoadExchange
    port: int
    suspended: dict[_Key, ItemProgress]
    _handed_over_at: dict[_Key, float] = attrs.field(factory=dict, init=False)
    _unfetched: dict[_Key, _FailedFetches] = attrs.field(
        factory=dict, init=False
    )

    def was_handed_over(self, key: _Key) -> bool:
        """Whether a peer fetched an item within the timeout."""
        return (
            time.monotonic() - self._handed_over_at.get(key, 0)
            < HANDOVER_TIMEOUT_S
        )

    def hand_over(self, path: str) -> bytes | None:
        """Remove a suspended item and return its progress for a peer.

        :param path: job ID and item ID, quoted, with a slash between.
        """
        job_id, _, item_id = path.partition('/')
        key = (unquote(job_id), unquote(item_id))
        progress = self.suspended.pop(key, None)
        if progress is None:
            return None
        self._remove_expired_handovers()
        self._handed_over_at[key] = time.monotonic()
        log_message('item:given', job=key[0], request_id=key[1])
        return msgspec.msgpack.encode(progress.record())

    def runs_at_preferred_peer(
        self, key: _Key, processes: Collection[str]
    ) -> bool:
        """Whether an item's run here duplicates that of a preferred peer.

        Peers that only claim the item count as not running it.

        :param processes: the live batch processes, including this one.
        """
        item_hash = short_hash(key[1])
        if item_hash not in self.load.peer_load.item_hashes:
            return False
        live_reports = self.load.live_reports
        competing_peers = [
            name
            for name in self._peers_with_item(item_hash)
            if item_hash not in live_reports[name].claims
        ]
        if is_preferred_runner(self.process, competing_peers, processes, *key):
            return False
        log_message(
            'item:twin', job=key[0], request_id=key[1], peers=competing_peers
        )
        return True

    async def acquire(self, progress: ItemProgress) -> bool:
        """Fetch or claim an item; return whether it may run here.

        An item with progress was suspended at this process and needs neither.
        An item that is suspended at a peer is fetched; any other is claimed,
        and so is one that the peer does not hand over for some time.
        """
        if progress.has_progress:
            return True
        host = self._host_of_suspended(progress.stored.item_id)
        if host is None or self._is_unfetchable(progress.key):
            return await self._claim(progress)
        was_fetched = False
        # the peer removes the progress as it sends it, so cancelling loses it
        with trio.CancelScope(shield=True):
            was_fetched = await self._fetch(progress, host)
        self._record_fetch(progress.key, was_fetched=was_fetched)
        return was_fetched

    def _is_unfetchable(self, key: _Key) -> bool:
        """Whether attempts to fetch an item have failed for some time."""
        now = time.monotonic()
        for known, failed in list(self._unfetched.items()):
            if now - failed.last_at > UNFETCHED_EXPIRY_S:
                self._unfetched.pop(known)
        known_failures = self._unfetched.get(key)
        return (
            known_failures is not None
            and now - known_failures.first_at > UNFETCHED_TIMEOUT_S
        )

    def _record_fetch(self, key: _Key, *, was_fetched: bool) -> None:
        """Remember that an item could not be fetched, or was."""
        now = time.monotonic()
        if was_fetched:
            self._unfetched.pop(key, None)
        else:
            failed = self._unfetched.setdefault(key, _FailedFetches(now, now))
            failed.last_at = now

    async def _claim(self, progress: ItemProgress) -> bool:
        """Claim an item; return whether no preferred process claims it.

        The process to which the job is assigned starts without a claim.
        """
        job_id, item_id = progress.key
        live_reports = self.load.live_reports
        peers = [
            name for name in live_reports if live_reports[name].runs_batch
        ]
        names = [self.process, *peers]
        if rank_nodes(job_id, names)[0] == self.process:
            return True
        self.load.schedule_urgent_report()
        await trio.sleep(CLAIM_WAIT_S)
        competing_peers = self._peers_with_item(short_hash(item_id))
        return is_preferred_runner(
            self.process, competing_peers, names, job_id, item_id
        )

    async def _fetch(self, progress: ItemProgress, host: str) -> bool:
        """Fetch an item's progress from a peer; return whether it sent it."""
        job_id, item_id = progress.key
        path = f'{HANDOVER_PATH}{quote(job_id, "")}/{quote(item_id, "")}'
        try:
            with trio.fail_after(FETCH_TIMEOUT_S):
                raw = await request_from_peer((host, self.port), path)
            if raw is None:
                return False
            record = _RECORD_DECODER.decode(raw)
        except (BriarrillError, trio.TooSlowError) as exc:
            log_message('item:not-taken', request_id=item_id, why=repr(exc))
            return False
        progress.load_record(record)
        return True

    def _peers_with_item(self, item_hash: int) -> list[str]:
        """Return the live processes that run or claim an item."""
        return [
            name
            for name, report in self.load.live_reports.items()
            if item_hash in report.items
        ]

    def _host_of_suspended(self, item_id: str) -> str | None:
        """Return the host of the live peer where an item is suspended."""
        item_hash = short_hash(item_id)
        for report in self.load.live_reports.values():
            if item_hash in report.held:
                return report.host
        return None

    def _remove_expired_handovers(self) -> None:
        """Remove the handovers whose timeout has passed."""
        for key in list(self._handed_over_at):
            if not self.was_handed_over(key):
                self._handed_over_at.pop(key)
