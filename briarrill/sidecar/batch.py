"""briarrill.sidecar.batch: pulls batch items and runs them."""

import collections
import uuid
from typing import Any

import attrs
import httpx
import trio

from ..coordination.admission import Admission
from ..errors import PeerUnreachableError
from ..metrics import BATCH_ITEMS, DUPLICATES, MALFORMED_MESSAGES, RESUMED
from ..protocol.codec import decode_or_count, encode
from ..protocol.messages import (
    Assign,
    BatchItem,
    ItemOutcome,
    Message,
    Pull,
    Revoke,
)
from ..readiness import Readiness
from ..result_codes import Ran, ResultCode
from ..tracing import continue_trace
from ..transport.zmq_socket import ZmqSocket, open_dealer
from .held_items import HeldItem, HeldItems
from .online import Identity
from .partial_answer import PartialAnswer
from .upstreams import Call, Upstream
from .upstreams.base import HTTP_SERVER_ERROR, HTTP_TOO_MANY

__all__ = ('BatchPuller', 'BatchRunner')

PULL_INTERVAL_S = 0.25

# between pulls from a process that hands out nothing
IDLE_PULL_INTERVAL_S = 1.0

# between pulls from any two such processes, however many there are
IDLE_PULL_SPACING_S = 0.2

# outcomes kept for a process that does not answer
MAX_UNSENT_OUTCOMES = 1000

# items held beyond the running ones, so a slot is refilled without a
# round trip
LOOKAHEAD_ITEMS = 2

HTTP_OK = 200


@attrs.frozen
class BatchRunner:
    """Runs batch items on free slots and resumes them after preemption."""

    upstream: Upstream
    admission: Admission

    async def run_item(self, batch_item: BatchItem) -> ItemOutcome:
        """Run one item to its outcome."""
        with continue_trace(
            batch_item.trace, 'sidecar:item', index=batch_item.index
        ):
            outcome = await self._run_guarded(batch_item)
        BATCH_ITEMS.labels(outcome.code.name).inc()
        return outcome

    async def _run_guarded(self, batch_item: BatchItem) -> ItemOutcome:
        try:
            partial = PartialAnswer.start(batch_item.body)
            return await self._run_with_resumes(batch_item, partial)
        except httpx.HTTPError as exc:
            return _outcome(
                batch_item,
                code=ResultCode.UPSTREAM_FAILED,
                ran=Ran.UNKNOWN,
                message=repr(exc),
            )
        except (KeyError, TypeError, ValueError) as exc:
            return _outcome(
                batch_item,
                code=ResultCode.UPSTREAM_FAILED,
                ran=Ran.UNKNOWN,
                message=f'the answer cannot be read: {exc!r}',
            )

    async def _run_with_resumes(
        self, batch_item: BatchItem, partial: PartialAnswer
    ) -> ItemOutcome:
        while True:
            async with self.admission.batch_slot() as slot:
                with slot.scope:
                    return await self._generate(batch_item, partial)
            RESUMED.inc()

    async def _generate(
        self, batch_item: BatchItem, partial: PartialAnswer
    ) -> ItemOutcome:
        call = Call('POST', batch_item.url, partial.next_request())
        async with self.upstream.open_call(call) as answer:
            if answer.http_status != HTTP_OK:
                return _refusal(batch_item, answer.http_status)
            async for events in answer.chunks:
                partial.add_events(events)
        return _outcome(
            batch_item,
            code=ResultCode.OK,
            ran=Ran.YES,
            body=partial.response_body(),
        )


def _refusal(batch_item: BatchItem, http_status: int) -> ItemOutcome:
    is_final = http_status < HTTP_SERVER_ERROR and http_status != HTTP_TOO_MANY
    return _outcome(
        batch_item,
        code=(
            ResultCode.BAD_REQUEST if is_final else ResultCode.UPSTREAM_FAILED
        ),
        ran=Ran.YES,
        http_status=http_status,
        message=f'the upstream answered {http_status}',
    )


def _outcome(
    batch_item: BatchItem, *, code: ResultCode, ran: Ran, **fields: Any
) -> ItemOutcome:
    return ItemOutcome(
        job=batch_item.job,
        index=batch_item.index,
        epoch=batch_item.epoch,
        attempt=batch_item.attempt,
        code=code,
        ran=ran,
        **fields,
    )


class BatchPuller:
    """Pulls items from one batch process and returns their outcomes.

    ``processes`` is the number of batch processes that are pulled from.

    :param owner: name of the batch process's instance.
    :param held: items held from all batch processes.
    """

    def __init__(
        self,
        identity: Identity,
        runner: BatchRunner,
        readiness: Readiness,
        owner: str,
        held: HeldItems,
    ) -> None:
        """Start without items."""
        self.models: tuple[str, ...] = ()
        self.processes = 1
        self.owner = owner
        self._identity = identity
        self._runner = runner
        self._readiness = readiness
        self._session = uuid.uuid4().hex
        self._table = held
        self._unsent: collections.deque[ItemOutcome] = collections.deque(
            maxlen=MAX_UNSENT_OUTCOMES
        )
        self._socket: ZmqSocket | None = None

    @property
    def held(self) -> int:
        """Return the items of this owner that have no outcome yet."""
        return self._table.count(self.owner)

    async def run(self, host: str, port: int) -> None:
        """Pull from the process at this address until cancelled."""
        with open_dealer(host, port) as socket:
            self._socket = socket
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_pulls)
                while True:
                    frames = await socket.receive()
                    message = decode_or_count(frames)
                    if message is not None:
                        self._dispatch(nursery, message)

    def _dispatch(self, nursery: trio.Nursery, message: Message) -> None:
        if isinstance(message, Assign):
            for batch_item in message.batch_items:
                self._take_item(nursery, batch_item)
            # ask for the rest of the room, now that there is work
            self._send_pull()
        elif isinstance(message, Revoke):
            self._table.revoke(message.job, message.epoch)
        else:
            MALFORMED_MESSAGES.inc()

    def _take_item(self, nursery: trio.Nursery, batch_item: BatchItem) -> None:
        if self._table.is_stopped(batch_item):
            self._deliver(_stopped_outcome(batch_item))
            return
        self._table.note_epoch(batch_item)
        held = HeldItem(batch_item, self.owner, self._deliver)
        if self._table.adopt(held):
            DUPLICATES.inc()
            return
        self._table.add(held)
        nursery.start_soon(self._run_item, held)

    async def _run_item(self, held: HeldItem) -> None:
        outcome = None
        with held.scope:
            outcome = await self._runner.run_item(held.batch_item)
        self._table.remove(held)
        if outcome is None:
            outcome = _stopped_outcome(held.batch_item)
        # the item may have got another owner while it ran
        held.deliver(
            attrs.evolve(
                outcome,
                epoch=held.batch_item.epoch,
                attempt=held.batch_item.attempt,
            )
        )
        self._send_pull()

    def _deliver(self, outcome: ItemOutcome) -> None:
        """Send an outcome, or keep it until the process answers again."""
        self._unsent.append(outcome)
        self._send_unsent()

    def _send_unsent(self) -> None:
        while self._unsent and self._send(self._unsent[0]):
            self._unsent.popleft()

    async def _send_pulls(self) -> None:
        while True:
            self._send_unsent()
            self._send_pull()
            await trio.sleep(self._interval_s())

    def _interval_s(self) -> float:
        """Return the time to the next pull.

        Pulls from idle processes do not grow with their number.
        """
        if self.held:
            return PULL_INTERVAL_S
        return max(IDLE_PULL_INTERVAL_S, self.processes * IDLE_PULL_SPACING_S)

    def _send_pull(self) -> None:
        self._send(
            Pull(
                session=self._session,
                process=self._identity.process,
                wanted=self._wanted(),
                models=self.models,
                service=self._identity.service,
                held=self.held,
                next_in_s=self._interval_s(),
            )
        )

    def _wanted(self) -> int:
        """Return the items to hold from this process.

        All processes together fill the room; one that hands out nothing is
        asked for a single item, so that many of them do not overfill it.
        """
        if self._readiness.is_draining or not self.models:
            return 0
        capacity = self._runner.admission.batch_capacity + LOOKAHEAD_ITEMS
        room = max(0, capacity - len(self._table))
        if not self.held:
            return min(room, 1)
        return self.held + room

    def _send(self, message: Message) -> bool:
        if self._socket is None:
            return False
        try:
            self._socket.send(encode(message))
        except PeerUnreachableError:
            return False
        return True


def _stopped_outcome(batch_item: BatchItem) -> ItemOutcome:
    return _outcome(
        batch_item,
        code=ResultCode.CANCELLED,
        ran=Ran.NO,
        message='the job is cancelled or has another owner',
    )
