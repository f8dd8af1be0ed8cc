"""briarrill.batch.handout: hands items to the sidecars that pull."""

import time
from collections.abc import Iterable

import attrs
import trio
from eliot import log_message

from ..errors import PeerUnreachableError
from ..metrics import DUPLICATES, MALFORMED_MESSAGES
from ..protocol.codec import decode_or_count, encode
from ..protocol.messages import (
    Assign,
    BatchItem,
    ItemOutcome,
    Message,
    Pull,
    Revoke,
)
from ..transport.zmq_socket import ZmqSocket
from .item_sources import ItemSource, ItemSources

__all__ = ('Handout',)

# silence after which a sidecar's items are handed out again
PULLER_TIMEOUT_S = 3.0

# pulls that a sidecar without items may miss before it is forgotten
MAX_MISSED_PULLS = 3

CHECK_INTERVAL_S = 0.25

ItemKey = tuple[str, int]


@attrs.define
class _Puller:
    """A sidecar's session."""

    peer: bytes
    pull: Pull
    seen_at: float
    outstanding: dict[ItemKey, BatchItem] = attrs.field(factory=dict)

    @property
    def room(self) -> int:
        """Items that it takes; it may hold some that it was dropped with."""
        held = max(len(self.outstanding), self.pull.held)
        return self.pull.wanted - held

    @property
    def timeout_s(self) -> float:
        """Return the silence after which it counts as lost."""
        if self.outstanding:
            return PULLER_TIMEOUT_S
        return max(PULLER_TIMEOUT_S, self.pull.next_in_s * MAX_MISSED_PULLS)

    def remove_job(self, job: str) -> list[BatchItem]:
        """Remove and return the outstanding items of a job."""
        keys = [key for key in self.outstanding if key[0] == job]
        return [self.outstanding.pop(key) for key in keys]


class Handout:
    """Items of this process's jobs, handed to sidecars on request.

    :param socket: bound router.
    """

    def __init__(self, socket: ZmqSocket, sources: ItemSources) -> None:
        """Start without sidecars."""
        self._socket = socket
        self._sources = sources
        self._pullers: dict[str, _Puller] = {}
        self._by_peer: dict[bytes, _Puller] = {}

    def count_outstanding(self, job: str) -> int:
        """Return the items of a job that sidecars hold."""
        return sum(
            key[0] == job
            for puller in self._pullers.values()
            for key in puller.outstanding
        )

    def add_source(self, source: ItemSource) -> None:
        """Begin to hand out a job's items."""
        self._sources.add(source)
        self.fill()

    def remove_source(self, source: ItemSource, epoch: int | None) -> None:
        """Stop handing out a job and stop its running items.

        :param epoch: last epoch of this owner; none when the job is
            cancelled, so sidecars stop its items of all owners.
        """
        if self._sources.find(source.job) is source:
            self._sources.remove(source.job)
        self.revoke(source.job, epoch)

    def revoke(self, job: str, epoch: int | None) -> None:
        """Tell all sidecars to stop a job's items."""
        for puller in list(self._pullers.values()):
            for batch_item in puller.remove_job(job):
                self._sources.leave(batch_item)
            self._send(puller, Revoke(job=job, epoch=epoch))

    async def run(self) -> None:
        """Receive messages until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._watch_silence)
            while True:
                peer, *frames = await self._socket.receive()
                message = decode_or_count(frames)
                if message is not None:
                    self._dispatch(peer, message)

    def fill(self) -> None:
        """Hand out items to all sidecars that have room."""
        for puller in list(self._pullers.values()):
            self._fill(puller)

    def drop_silent(self) -> None:
        """Forget sidecars that are silent for too long."""
        now = time.monotonic()
        for puller in list(self._pullers.values()):
            if now - puller.seen_at > puller.timeout_s:
                self._drop(puller, 'silent')

    def _dispatch(self, peer: bytes, message: Message) -> None:
        if isinstance(message, Pull):
            self._take_pull(peer, message)
        elif isinstance(message, ItemOutcome):
            self._take_outcome(peer, message)
        else:
            MALFORMED_MESSAGES.inc()

    def _take_pull(self, peer: bytes, pull: Pull) -> None:
        puller = self._pullers.get(pull.process)
        if puller is not None and puller.peer != peer:
            self._drop(puller, 'new session')
            puller = None
        if puller is None:
            puller = _Puller(peer, pull, time.monotonic())
            self._pullers[pull.process] = puller
            self._by_peer[peer] = puller
        puller.pull = pull
        puller.seen_at = time.monotonic()
        self._fill(puller)

    def _take_outcome(self, peer: bytes, outcome: ItemOutcome) -> None:
        sidecar = ''
        puller = self._by_peer.get(peer)
        if puller is not None:
            sidecar = puller.pull.process
            key = (outcome.job, outcome.index)
            batch_item = puller.outstanding.pop(key, None)
            if batch_item is not None:
                self._sources.leave(batch_item)
        source = self._sources.find(outcome.job)
        if source is None:
            DUPLICATES.inc()
            return
        source.take_outcome(outcome, sidecar)

    def _fill(self, puller: _Puller) -> None:
        chosen = []
        was_idle = not puller.outstanding
        while puller.room > 0:
            batch_item = self._sources.next_item(
                puller.pull.models, puller.pull.process
            )
            if batch_item is None:
                break
            puller.outstanding[batch_item.job, batch_item.index] = batch_item
            chosen.append(batch_item)
        if chosen and was_idle:
            # its silence counts from here: it may have been long before
            puller.seen_at = time.monotonic()
        if chosen:
            self._send_assign(puller, chosen)

    def _send_assign(
        self, puller: _Puller, chosen: Iterable[BatchItem]
    ) -> None:
        self._send(puller, Assign(batch_items=tuple(chosen)))

    def _send(self, puller: _Puller, message: Message) -> None:
        try:
            self._socket.send([puller.peer, *encode(message)])
        except PeerUnreachableError:
            self._drop(puller, 'unreachable')

    async def _watch_silence(self) -> None:
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            self.drop_silent()

    def _drop(self, puller: _Puller, reason: str) -> None:
        """Forget a sidecar and take its items back."""
        sidecar = puller.pull.process
        if self._pullers.get(sidecar) is puller:
            self._pullers.pop(sidecar)
        self._by_peer.pop(puller.peer, None)
        log_message('puller:dropped', puller=sidecar, reason=reason)
        for batch_item in puller.outstanding.values():
            self._sources.leave(batch_item)
            source = self._sources.find(batch_item.job)
            if source is not None:
                source.take_back(batch_item)
        puller.outstanding.clear()
