"""briarrill.batch.handout: hands items to the sidecars that pull."""

import time
from collections.abc import Iterable
from typing import Protocol

import attrs
import trio
from eliot import log_message

from ..errors import MalformedMessageError, PeerUnreachableError
from ..metrics import DUPLICATES, MALFORMED_MESSAGES
from ..protocol.codec import decode, encode
from ..protocol.messages import (
    Assign,
    BatchItem,
    ItemOutcome,
    Message,
    Pull,
    Revoke,
)
from ..transport.zmq_socket import ZmqSocket

__all__ = ('Handout', 'ItemSource')

# silence after which a sidecar's items are handed out again
PULLER_TIMEOUT_S = 3.0

CHECK_INTERVAL_S = 0.25

ItemKey = tuple[str, int]


class ItemSource(Protocol):
    """A job as the hand-out sees it."""

    @property
    def job(self) -> str:
        """Return the job's key."""

    def next_item(self, models: tuple[str, ...]) -> BatchItem | None:
        """Return an item for one of the models, or nothing."""

    def take_back(self, batch_item: BatchItem) -> None:
        """Take back an item that was lost with its sidecar."""

    def take_outcome(self, outcome: ItemOutcome) -> None:
        """Take an item's outcome."""


@attrs.define
class _Puller:
    """A sidecar's session."""

    peer: bytes
    pull: Pull
    seen_at: float
    outstanding: dict[ItemKey, BatchItem] = attrs.field(factory=dict)

    @property
    def room(self) -> int:
        return self.pull.wanted - len(self.outstanding)


class Handout:
    """Items of this process's jobs, handed to sidecars on request.

    :param socket: bound router.
    """

    def __init__(self, socket: ZmqSocket) -> None:
        """Start without jobs."""
        self._socket = socket
        self._sources: dict[str, ItemSource] = {}
        self._pullers: dict[str, _Puller] = {}

    @property
    def outstanding(self) -> int:
        """Return the items that sidecars hold."""
        return sum(len(row.outstanding) for row in self._pullers.values())

    def add_source(self, source: ItemSource) -> None:
        """Begin to hand out a job's items."""
        self._sources[source.job] = source
        self.fill()

    def remove_source(self, job: str) -> None:
        """Stop handing out a job and stop its running items."""
        self._sources.pop(job, None)
        for puller in self._pullers.values():
            self._revoke(puller, job)

    async def run(self) -> None:
        """Receive messages until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._drop_silent)
            while True:
                peer, *frames = await self._socket.receive()
                try:
                    message = decode(frames)
                except MalformedMessageError:
                    MALFORMED_MESSAGES.inc()
                    continue
                self._dispatch(peer, message)

    def fill(self) -> None:
        """Hand out items to all sidecars that have room."""
        for puller in list(self._pullers.values()):
            self._fill(puller)

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
            self._drop(pull.process, 'new session')
            puller = None
        if puller is None:
            puller = _Puller(peer, pull, time.monotonic())
            self._pullers[pull.process] = puller
        puller.pull = pull
        puller.seen_at = time.monotonic()
        self._fill(puller)

    def _take_outcome(self, peer: bytes, outcome: ItemOutcome) -> None:
        key = (outcome.job, outcome.index)
        for puller in self._pullers.values():
            if puller.peer == peer:
                puller.outstanding.pop(key, None)
        source = self._sources.get(outcome.job)
        if source is None:
            DUPLICATES.inc()
            return
        source.take_outcome(outcome)

    def _fill(self, puller: _Puller) -> None:
        chosen = []
        while puller.room > 0:
            batch_item = self._next_item(puller.pull.models)
            if batch_item is None:
                break
            puller.outstanding[batch_item.job, batch_item.index] = batch_item
            chosen.append(batch_item)
        if chosen:
            self._send_assign(puller, chosen)

    def _next_item(self, models: tuple[str, ...]) -> BatchItem | None:
        """Take turns between the jobs."""
        for job in list(self._sources):
            source = self._sources.pop(job)
            self._sources[job] = source
            batch_item = source.next_item(models)
            if batch_item is not None:
                return batch_item
        return None

    def _send_assign(
        self, puller: _Puller, chosen: Iterable[BatchItem]
    ) -> None:
        try:
            self._send(puller, Assign(batch_items=tuple(chosen)))
        except PeerUnreachableError:
            self._drop(puller.pull.process, 'unreachable')

    def _revoke(self, puller: _Puller, job: str) -> None:
        keys = [key for key in puller.outstanding if key[0] == job]
        for key in keys:
            puller.outstanding.pop(key)
        if not keys:
            return
        try:
            self._send(puller, Revoke(job=job))
        except PeerUnreachableError:
            self._drop(puller.pull.process, 'unreachable')

    def _send(self, puller: _Puller, message: Message) -> None:
        self._socket.send([puller.peer, *encode(message)])

    async def _drop_silent(self) -> None:
        while True:
            await trio.sleep(CHECK_INTERVAL_S)
            oldest = time.monotonic() - PULLER_TIMEOUT_S
            for process, puller in list(self._pullers.items()):
                if puller.seen_at < oldest:
                    self._drop(process, 'silent')

    def _drop(self, process: str, reason: str) -> None:
        """Forget a sidecar and take its items back."""
        puller = self._pullers.pop(process)
        log_message('puller:dropped', puller=process, reason=reason)
        for batch_item in puller.outstanding.values():
            source = self._sources.get(batch_item.job)
            if source is not None:
                source.take_back(batch_item)
