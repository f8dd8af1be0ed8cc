"""briarrill.sidecar.batch: pulls batch items and runs them."""

import uuid
from typing import Any

import attrs
import httpx
import trio

from ..coordination.admission import Admission
from ..errors import MalformedMessageError, PeerUnreachableError
from ..metrics import BATCH_ITEMS, DUPLICATES, MALFORMED_MESSAGES, RESUMED
from ..protocol.codec import decode, encode
from ..protocol.messages import (
    Assign,
    BatchItem,
    ItemOutcome,
    Message,
    Pull,
    Revoke,
)
from ..result_codes import Ran, ResultCode
from ..runtime import Readiness
from ..tracing import continue_trace
from ..transport.zmq_socket import ZmqSocket, open_dealer
from .online import Identity
from .partial_answer import PartialAnswer
from .upstreams import Call, Upstream

__all__ = ('BatchPuller', 'BatchRunner')

PULL_INTERVAL_S = 0.25

# items held beyond the running ones, so a slot is refilled without a
# round trip
LOOKAHEAD_ITEMS = 2

HTTP_OK = 200
HTTP_TOO_MANY = 429
HTTP_SERVER_ERROR = 500


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
                return await _refusal(batch_item, answer.http_status)
            async for events in answer.chunks:
                partial.add_events(events)
        return _outcome(
            batch_item,
            code=ResultCode.OK,
            ran=Ran.YES,
            body=partial.response_body(),
        )


async def _refusal(batch_item: BatchItem, http_status: int) -> ItemOutcome:
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
        code=code,
        ran=ran,
        **fields,
    )


class BatchPuller:
    """Pulls items from one batch process.

    :param identity: name of the sidecar.
    :param runner: runs the items.
    """

    def __init__(
        self, identity: Identity, runner: BatchRunner, readiness: Readiness
    ) -> None:
        """Start without items."""
        self.models: tuple[str, ...] = ()
        self._identity = identity
        self._runner = runner
        self._readiness = readiness
        self._session = uuid.uuid4().hex
        self._held: dict[tuple[str, int], trio.CancelScope] = {}

    @property
    def held(self) -> int:
        """Return the items that have no outcome yet."""
        return len(self._held)

    async def run(self, host: str, port: int) -> None:
        """Pull from the process at this address until cancelled."""
        with open_dealer(host, port) as socket:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._send_pulls, socket)
                while True:
                    frames = await socket.receive()
                    try:
                        message = decode(frames)
                    except MalformedMessageError:
                        MALFORMED_MESSAGES.inc()
                        continue
                    self._dispatch(nursery, socket, message)

    def _dispatch(
        self, nursery: trio.Nursery, socket: ZmqSocket, message: Message
    ) -> None:
        if isinstance(message, Assign):
            for batch_item in message.batch_items:
                nursery.start_soon(self._run_item, socket, batch_item)
        elif isinstance(message, Revoke):
            self._revoke(message.job)
        else:
            MALFORMED_MESSAGES.inc()

    def _revoke(self, job: str) -> None:
        for key, scope in self._held.items():
            if key[0] == job:
                scope.cancel()

    async def _run_item(
        self, socket: ZmqSocket, batch_item: BatchItem
    ) -> None:
        key = (batch_item.job, batch_item.index)
        if key in self._held:
            DUPLICATES.inc()
            return
        outcome = None
        with trio.CancelScope() as scope:
            self._held[key] = scope
            try:
                outcome = await self._runner.run_item(batch_item)
            finally:
                self._held.pop(key)
        if outcome is None:
            return
        self._send(socket, outcome)
        self._send_pull(socket)

    async def _send_pulls(self, socket: ZmqSocket) -> None:
        while True:
            self._send_pull(socket)
            await trio.sleep(PULL_INTERVAL_S)

    def _send_pull(self, socket: ZmqSocket) -> None:
        admission = self._runner.admission
        wanted = admission.batch_capacity + LOOKAHEAD_ITEMS
        if self._readiness.is_draining or not self.models:
            wanted = 0
        pull = Pull(
            session=self._session,
            process=self._identity.process,
            wanted=wanted,
            models=self.models,
            service=self._identity.service,
        )
        self._send(socket, pull)

    def _send(self, socket: ZmqSocket, message: Message) -> None:
        try:
            socket.send(encode(message))
        except PeerUnreachableError:
            return
