"""briarrill.sidecar.batch: pulls batch items and runs them."""

import collections
import uuid
from typing import Any

import attrs
import httpx
import trio

from ..coordination.admission import Admission
from ..errors import MalformedMessageError, PeerUnreachableError
from ..metrics import BATCH_ITEMS, DUPLICATES, MALFORMED_MESSAGES, RESUMED
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
from ..readiness import Readiness
from ..result_codes import Ran, ResultCode
from ..tracing import continue_trace
from ..transport.zmq_socket import ZmqSocket, open_dealer
from .engine_ends import EngineEnds
from .online import SidecarIdentity
from .resumable_completion import ResumableCompletion
from .stall_limits import iter_in_time, open_in_time
from .unfinished_items import UnfinishedItem, UnfinishedItems
from .upstreams import Upstream, UpstreamRequest
from .upstreams.base import HTTP_SERVER_ERROR, HTTP_TOO_MANY_REQUESTS

__all__ = ('BatchPuller', 'BatchRunner')

# between pulls from a process whose items are unfinished here
PULL_INTERVAL_S = 0.25

# between pulls from a process that has assigned no items
IDLE_PULL_INTERVAL_S = 1.0

# average time between pulls from any two idle processes: bounds the total
# pull rate
IDLE_PULL_SPACING_S = 0.2

# outcomes kept while a batch process is unreachable; the oldest is
# discarded first
MAX_UNSENT_OUTCOMES = 1000

# items pulled beyond the slots, so that a free slot is filled without a
# round trip
PREFETCH_ITEMS = 2

HTTP_OK = 200

# raised for requests and events whose fields are not as documented
_MALFORMED_ERRORS = (
    AttributeError,
    KeyError,
    MalformedMessageError,
    RecursionError,
    TypeError,
    ValueError,
)


@attrs.frozen
class BatchRunner:
    """Runs batch items on free slots; resumes them after a preemption."""

    upstream: Upstream
    admission: Admission
    ends: EngineEnds

    async def run_item(self, batch_item: BatchItem) -> ItemOutcome:
        """Run one item; return its outcome, also if the upstream failed."""
        with continue_trace(
            batch_item.trace, 'sidecar:item', index=batch_item.index
        ):
            outcome = await self._run_to_outcome(batch_item)
        BATCH_ITEMS.labels(outcome.code.name).inc()
        return outcome

    async def _run_to_outcome(self, batch_item: BatchItem) -> ItemOutcome:
        """Run an item; return an error outcome if the upstream fails."""
        try:
            completion = ResumableCompletion.from_request_body(batch_item.body)
            return await self._run_with_resumes(batch_item, completion)
        except httpx.HTTPError as exc:
            return _make_outcome(
                batch_item,
                code=ResultCode.UPSTREAM_FAILED,
                ran=Ran.UNKNOWN,
                message=repr(exc),
            )
        except _MALFORMED_ERRORS as exc:
            return _make_outcome(
                batch_item,
                code=ResultCode.UPSTREAM_FAILED,
                ran=Ran.UNKNOWN,
                message=f'cannot parse the request or response: {exc!r}',
            )

    async def _run_with_resumes(
        self, batch_item: BatchItem, completion: ResumableCompletion
    ) -> ItemOutcome:
        """Run an item; after each preemption, wait for a slot and resume."""
        while True:
            async with self.admission.batch_slot() as slot:
                with slot.scope:
                    return await self._run_on_slot(batch_item, completion)
            RESUMED.inc()

    async def _run_on_slot(
        self, batch_item: BatchItem, completion: ResumableCompletion
    ) -> ItemOutcome:
        """Request the rest of the completion and collect its events.

        :raises httpx.RemoteProtocolError: the response is no whole stream.
        """
        req = UpstreamRequest(
            'POST', batch_item.url, completion.next_request_body()
        )
        with self.ends.track(batch_item.body) as run:
            async with open_in_time(self.upstream.send(req)) as response:
                if response.http_status != HTTP_OK:
                    return _error_status_outcome(
                        batch_item, response.http_status
                    )
                async for events in iter_in_time(response.chunks):
                    run.record_bytes()
                    completion.add_events(events)
            if not completion.has_ended:
                raise httpx.RemoteProtocolError(
                    'the response to an item has no end event'
                )
            run.record_end(response.http_status, is_marked=True)
        return _make_outcome(
            batch_item,
            code=ResultCode.OK,
            ran=Ran.YES,
            body=completion.response_body(),
        )


def _error_status_outcome(
    batch_item: BatchItem, http_status: int
) -> ItemOutcome:
    """Return the outcome for an HTTP error status.

    A client error is final, except for 429.
    """
    is_caller_error = (
        http_status < HTTP_SERVER_ERROR
        and http_status != HTTP_TOO_MANY_REQUESTS
    )
    return _make_outcome(
        batch_item,
        code=(
            ResultCode.BAD_REQUEST
            if is_caller_error
            else ResultCode.UPSTREAM_FAILED
        ),
        ran=Ran.YES,
        http_status=http_status,
        message=f'the upstream responded with status {http_status}',
    )


def _make_outcome(
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
    """Pulls items from one batch process and sends back their outcomes.

    ``process_count`` is the number of batch processes that this sidecar pulls
    from.

    :param owner: instance name of the batch process.
    :param unfinished_items: unfinished items of all batch processes.
    """

    def __init__(
        self,
        identity: SidecarIdentity,
        runner: BatchRunner,
        readiness: Readiness,
        owner: str,
        unfinished_items: UnfinishedItems,
    ) -> None:
        """Create a puller without a connection."""
        self.models: tuple[str, ...] = ()
        self.process_count = 1
        self.owner = owner
        self._identity = identity
        self._runner = runner
        self._readiness = readiness
        self._session = uuid.uuid4().hex
        self._unfinished_items = unfinished_items
        self._unsent_outcomes: collections.deque[ItemOutcome] = (
            collections.deque(maxlen=MAX_UNSENT_OUTCOMES)
        )
        self._socket: ZmqSocket | None = None

    @property
    def unfinished_count(self) -> int:
        """Return the number of this owner's unfinished items."""
        return self._unfinished_items.count(self.owner)

    async def run(self, host: str, port: int) -> None:
        """Pull from the batch process at this address until cancelled."""
        with open_dealer(host, port) as socket:
            self._socket = socket
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_pulls)
                while True:
                    frames = await socket.receive()
                    message = decode_or_none(frames)
                    if message is not None:
                        self._handle_message(nursery, message)

    def _handle_message(self, nursery: trio.Nursery, message: Message) -> None:
        if isinstance(message, Assign):
            for batch_item in message.batch_items:
                self._accept_item(nursery, batch_item)
            # pull more now: a process with items may be asked for all of
            # the free capacity
            self._send_pull()
        elif isinstance(message, Revoke):
            self._unfinished_items.revoke(message.job, message.epoch)
        elif isinstance(message, JobClaimed):
            self._unfinished_items.record_claim(message.job, message.epoch)
        else:
            MALFORMED_MESSAGES.inc()

    def _accept_item(
        self, nursery: trio.Nursery, batch_item: BatchItem
    ) -> None:
        """Start an assigned item unless it is revoked or runs already."""
        if self._unfinished_items.is_revoked(batch_item):
            self._deliver_outcome(_revoked_outcome(batch_item, Ran.NO))
            return
        self._unfinished_items.record_epoch(batch_item)
        unfinished = UnfinishedItem(
            batch_item, self.owner, self._deliver_outcome
        )
        if self._unfinished_items.reassign(unfinished):
            DUPLICATES.inc()
            return
        self._unfinished_items.add(unfinished)
        nursery.start_soon(self._run_item, unfinished)

    async def _run_item(self, unfinished: UnfinishedItem) -> None:
        """Run an item and send its outcome to its current owner."""
        outcome = None
        with unfinished.scope:
            outcome = await self._runner.run_item(unfinished.batch_item)
        self._unfinished_items.remove(unfinished)
        if outcome is None:
            outcome = _revoked_outcome(unfinished.batch_item, Ran.UNKNOWN)
        # the item may have been reassigned to another owner while it ran
        unfinished.deliver(
            attrs.evolve(
                outcome,
                epoch=unfinished.batch_item.epoch,
                attempt=unfinished.batch_item.attempt,
            )
        )
        self._send_pull()

    def _deliver_outcome(self, outcome: ItemOutcome) -> None:
        """Send an outcome, or queue it until the process is reachable."""
        self._unsent_outcomes.append(outcome)
        self._send_unsent()

    def _send_unsent(self) -> None:
        """Send the queued outcomes, oldest first, until a send fails."""
        while self._unsent_outcomes and self._send(self._unsent_outcomes[0]):
            self._unsent_outcomes.popleft()

    async def _send_pulls(self) -> None:
        """Send pulls and queued outcomes at intervals until cancelled."""
        while True:
            self._send_unsent()
            self._send_pull()
            await trio.sleep(self._pull_interval_s())

    def _pull_interval_s(self) -> float:
        """Return the time to the next pull.

        The rate of pulls from idle processes is independent of their number.
        """
        if self.unfinished_count:
            return PULL_INTERVAL_S
        return max(
            IDLE_PULL_INTERVAL_S, self.process_count * IDLE_PULL_SPACING_S
        )

    def _send_pull(self) -> None:
        self._send(
            Pull(
                session=self._session,
                process=self._identity.process,
                wanted=self._wanted_items(),
                models=self.models,
                service=self._identity.service,
                held=self.unfinished_count,
                next_in_s=self._pull_interval_s(),
                prompt_news=self._runner.ends.news,
            )
        )

    def _wanted_items(self) -> int:
        """Return the target number of unfinished items of this process.

        All processes together fill the capacity. A process without assigned
        items is asked for one item only, so that many such processes don't
        exceed it.
        """
        if self._readiness.is_draining or not self.models:
            return 0
        capacity = self._runner.admission.batch_capacity + PREFETCH_ITEMS
        free_capacity = max(0, capacity - len(self._unfinished_items))
        if not self.unfinished_count:
            return min(free_capacity, 1)
        return self.unfinished_count + free_capacity

    def _send(self, message: Message) -> bool:
        """Send a message; return whether the socket accepted it."""
        if self._socket is None:
            return False
        try:
            self._socket.send(encode(message))
        except PeerUnreachableError:
            return False
        return True


def _revoked_outcome(batch_item: BatchItem, ran: Ran) -> ItemOutcome:
    """Return the outcome of an item that was stopped or not started."""
    return _make_outcome(
        batch_item,
        code=ResultCode.CANCELLED,
        ran=ran,
        message='the job was cancelled or has a newer owner',
    )
