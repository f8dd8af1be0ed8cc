"""briarrill.batch.item_dispatcher: assigns items to sidecars that pull."""

import time
from collections.abc import Iterable

import attrs
import trio
from eliot import log_message

from ..coordination.upstream_ends import UpstreamEnds
from ..errors import PeerUnreachableError
from ..metrics import DUPLICATES, MALFORMED_MESSAGES
from ..protocol.callers_api import prompt_parts
from ..protocol.codec import decode_or_none, encode
from ..protocol.messages import (
    Assign,
    BatchItem,
    ItemOutcome,
    JobClaimed,
    Message,
    Pull,
    Revoke,
)
from ..result_codes import ResultCode
from ..transport.zmq_socket import ZmqSocket
from .item_sources import ItemSource, ItemSources
from .outcomes import quarantined_outcome

__all__ = ('ItemDispatcher',)

# a sidecar with outstanding items counts as lost after this silence, and
# its items are queued again
PULLER_TIMEOUT_S = 3.0

# missed pulls after which a sidecar without items counts as lost
MAX_MISSED_IDLE_PULLS = 3

SILENCE_CHECK_INTERVAL_S = 0.25

ItemKey = tuple[str, int]


@attrs.define
class _Puller:
    """The session of one sidecar that pulls items.

    :param peer: ZeroMQ routing identifier.
    :param pull: the latest pull.
    :param timeout_started_at: time of the latest pull, or of the first
        assignment after it was idle, by the monotonic clock.
    :param outstanding: items assigned to it without an outcome so far.
    """

    peer: bytes
    pull: Pull
    timeout_started_at: float
    outstanding: dict[ItemKey, BatchItem] = attrs.field(factory=dict)

    @property
    def free_capacity(self) -> int:
        """Number of further items to assign.

        A sidecar that was removed and pulls again still runs items that
        this process no longer lists, so its own count is used if higher.
        """
        running = max(len(self.outstanding), self.pull.held)
        return self.pull.wanted - running

    @property
    def timeout_s(self) -> float:
        """Seconds without a pull after which the sidecar counts as lost."""
        if self.outstanding:
            return PULLER_TIMEOUT_S
        return max(
            PULLER_TIMEOUT_S, self.pull.next_in_s * MAX_MISSED_IDLE_PULLS
        )

    def remove_job(self, job: str) -> list[BatchItem]:
        """Remove and return the outstanding items of a job."""
        keys = [key for key in self.outstanding if key[0] == job]
        return [self.outstanding.pop(key) for key in keys]


class ItemDispatcher:
    """Assigns items of this process's jobs to the sidecars that pull.

    :param socket: bound router.
    :param sources: jobs to choose items from.
    :param ends: learns from the sidecars which prompts end engines.
    """

    def __init__(
        self, socket: ZmqSocket, sources: ItemSources, ends: UpstreamEnds
    ) -> None:
        """Start without sidecars."""
        self._ends = ends
        self._socket = socket
        self._sources = sources
        self._pullers: dict[str, _Puller] = {}
        self._by_peer: dict[bytes, _Puller] = {}
        self._claims: dict[str, JobClaimed] = {}

    def count_outstanding(self, job: str) -> int:
        """Return the number of a job's items assigned without an outcome."""
        return sum(
            key[0] == job
            for puller in self._pullers.values()
            for key in puller.outstanding
        )

    def add_source(self, source: ItemSource) -> None:
        """Add a job and assign its items to sidecars with free capacity."""
        self._sources.add(source)
        self.assign_to_all()

    def announce_claim(self, job: str, epoch: int) -> None:
        """Tell all sidecars that a job of another owner was claimed.

        That owner may not know it, and its items may leave no slot for those
        of this process, whose epoch would tell the sidecars too.
        """
        claim = JobClaimed(job, epoch)
        self._claims[job] = claim
        for puller in list(self._pullers.values()):
            self._send(puller, claim)

    def remove_source(self, source: ItemSource, epoch: int | None) -> None:
        """Remove a job and revoke its items at all sidecars.

        :param epoch: last epoch of this owner; None when the job is
            cancelled, so that sidecars stop the items of all its owners.
        """
        if self._sources.find(source.job) is source:
            self._sources.remove(source.job)
            self._claims.pop(source.job, None)
        self.revoke(source.job, epoch)

    def revoke(self, job: str, epoch: int | None) -> None:
        """Remove a job's outstanding items and revoke them at all sidecars.

        :param epoch: revokes items of this and older epochs; None revokes
            all items.
        """
        for puller in list(self._pullers.values()):
            for batch_item in puller.remove_job(job):
                self._sources.remove_in_flight(batch_item)
            self._send(puller, Revoke(job=job, epoch=epoch))

    async def run(self) -> None:
        """Receive messages until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._remove_silent_periodically)
            nursery.start_soon(self._ends.run)
            while True:
                peer, *frames = await self._socket.receive()
                message = decode_or_none(frames)
                if message is not None:
                    self._handle_message(peer, message)

    def assign_to_all(self) -> None:
        """Assign items to every sidecar with free capacity."""
        for puller in list(self._pullers.values()):
            self._assign_to(puller)

    def remove_silent_sidecars(self) -> None:
        """Remove sidecars that exceed their timeout; requeue their items."""
        now = time.monotonic()
        for puller in list(self._pullers.values()):
            if now - puller.timeout_started_at > puller.timeout_s:
                self._remove_puller(puller, 'silent')

    def _handle_message(self, peer: bytes, message: Message) -> None:
        """Handle a pull or an outcome; count any other message."""
        if isinstance(message, Pull):
            self._handle_pull(peer, message)
        elif isinstance(message, ItemOutcome):
            self._handle_outcome(peer, message)
        else:
            MALFORMED_MESSAGES.inc()

    def _handle_pull(self, peer: bytes, pull: Pull) -> None:
        """Register the sidecar if needed and assign items to it.

        A pull from another peer address replaces the sidecar's old session.
        """
        puller = self._pullers.get(pull.process)
        if puller is not None and puller.peer != peer:
            self._remove_puller(puller, 'new session')
            puller = None
        if puller is None:
            puller = _Puller(peer, pull, time.monotonic())
            self._pullers[pull.process] = puller
            self._by_peer[peer] = puller
            for claim in self._claims.values():
                self._send(puller, claim)
        puller.pull = pull
        puller.timeout_started_at = time.monotonic()
        self._ends.receive_news(pull.prompt_news)
        self._assign_to(puller)

    def _handle_outcome(self, peer: bytes, outcome: ItemOutcome) -> None:
        """Pass an outcome to its job; without one, count a duplicate."""
        sidecar = ''
        puller = self._by_peer.get(peer)
        if puller is not None:
            sidecar = puller.pull.process
            key = (outcome.job, outcome.index)
            batch_item = puller.outstanding.pop(key, None)
            if batch_item is not None:
                self._sources.remove_in_flight(batch_item)
                self._record_answer(batch_item, outcome)
        source = self._sources.find(outcome.job)
        if source is None:
            DUPLICATES.inc()
            return
        source.record_outcome(outcome, sidecar)

    def _assign_to(self, puller: _Puller) -> None:
        """Assign items up to the free capacity of a sidecar."""
        assigned = []
        was_idle = not puller.outstanding
        while puller.free_capacity > 0:
            batch_item = self._sources.next_item(
                puller.pull.models, puller.pull.process
            )
            if batch_item is None:
                break
            if self._is_refused(batch_item, puller.pull.process):
                continue
            puller.outstanding[batch_item.job, batch_item.index] = batch_item
            assigned.append(batch_item)
        if assigned and was_idle:
            # an idle sidecar may have been silent for longer than the timeout
            # that applies once it has items
            puller.timeout_started_at = time.monotonic()
        if assigned:
            self._send_assign(puller, assigned)

    def _is_refused(self, batch_item: BatchItem, sidecar: str) -> bool:
        """Refuse an item whose prompt is quarantined.

        It counts as a failed attempt, so that the item ends in time.
        """
        parts = prompt_parts(batch_item.body)
        if not self._ends.quarantine.time_left_s(parts):
            return False
        self._sources.remove_in_flight(batch_item)
        source = self._sources.find(batch_item.job)
        if source is not None:
            source.record_outcome(quarantined_outcome(batch_item), sidecar)
        return True

    def _record_answer(
        self, batch_item: BatchItem, outcome: ItemOutcome
    ) -> None:
        """Record that an engine completed an item."""
        if outcome.code is ResultCode.OK:
            self._ends.quarantine.record_answer(prompt_parts(batch_item.body))

    def _send_assign(
        self, puller: _Puller, assigned: Iterable[BatchItem]
    ) -> None:
        self._send(puller, Assign(batch_items=tuple(assigned)))

    def _send(self, puller: _Puller, message: Message) -> None:
        """Send a message; remove a sidecar that is unreachable."""
        try:
            self._socket.send([puller.peer, *encode(message)])
        except PeerUnreachableError:
            self._remove_puller(puller, 'unreachable')

    async def _remove_silent_periodically(self) -> None:
        while True:
            await trio.sleep(SILENCE_CHECK_INTERVAL_S)
            self.remove_silent_sidecars()

    def _remove_puller(self, puller: _Puller, reason: str) -> None:
        """Remove a sidecar and requeue its outstanding items."""
        sidecar = puller.pull.process
        if self._pullers.get(sidecar) is puller:
            self._pullers.pop(sidecar)
        self._by_peer.pop(puller.peer, None)
        log_message('puller:dropped', puller=sidecar, reason=reason)
        for batch_item in puller.outstanding.values():
            self._sources.remove_in_flight(batch_item)
            source = self._sources.find(batch_item.job)
            if source is not None:
                source.requeue_lost(batch_item)
        puller.outstanding.clear()
