"""briarrill.sidecar.online: answers the entries' online requests."""

import httpx
import trio
from eliot import log_message

from ..coordination.admission import Admission
from ..errors import (
    BriarrillError,
    DeadlineExceededError,
    DeadlineUnreachableError,
    DrainingError,
    DuplicateError,
    InternalError,
    NotReadyError,
    PeerUnreachableError,
    SlowReaderError,
    UpstreamFailedError,
)
from ..metrics import (
    CANCELLED,
    DUPLICATES,
    MALFORMED_MESSAGES,
    STALE_MESSAGES,
)
from ..protocol.codec import decode_or_count
from ..protocol.messages import (
    CancelCall,
    Finish,
    Hello,
    LoadReport,
    Message,
    Submit,
)
from ..readiness import Readiness
from ..result_codes import Ran
from ..tracing import continue_trace
from ..transport.zmq_socket import ZmqSocket
from .entry_sessions import EntrySessions, Identity, SidecarState
from .online_call import CallKey, OnlineCall
from .recent_ids import RecentIds
from .upstreams import Answer, Call, Upstream

__all__ = ('Identity', 'OnlineServer')

HEARTBEAT_INTERVAL_S = 0.25

# wait that a refusal names when a request may go elsewhere at once
RETRY_AFTER_S = 1.0


class OnlineServer:
    """Sessions of entries and their requests.

    :param socket: bound router.
    :param identity: name and service.
    :param upstream: runs the requests.
    :param admission: bounds what runs.
    """

    def __init__(
        self,
        socket: ZmqSocket,
        identity: Identity,
        upstream: Upstream,
        admission: Admission,
        readiness: Readiness,
    ) -> None:
        """Start without sessions."""
        self.models: tuple[str, ...] = ()
        self._socket = socket
        self._sessions = EntrySessions(socket, identity)
        self._upstream = upstream
        self.admission = admission
        self._readiness = readiness
        self._calls: dict[CallKey, OnlineCall] = {}
        self._recent = RecentIds()

    @property
    def in_flight(self) -> int:
        """Return the requests that have not finished."""
        return len(self._calls)

    def load(self) -> LoadReport:
        """Return the present load."""
        return LoadReport(
            slots=self.admission.slots,
            online_running=self.admission.online_running,
            online_queued=self.admission.online_queued,
            batch_running=self.admission.batch_running,
        )

    async def run(self) -> None:
        """Receive messages until cancelled."""
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._send_heartbeats)
            while True:
                peer, *frames = await self._socket.receive()
                message = decode_or_count(frames)
                if message is not None:
                    self._dispatch(nursery, peer, message)

    def announce(self) -> None:
        """Send a heartbeat to all sessions now."""
        for peer in self._sessions.announce(self._state()):
            self._end_session(peer)

    def _state(self) -> SidecarState:
        return SidecarState(
            load=self.load(),
            models=self.models,
            draining=self._readiness.is_draining,
        )

    def _dispatch(
        self, nursery: trio.Nursery, peer: bytes, message: Message
    ) -> None:
        if isinstance(message, Submit):
            self._start_call(nursery, OnlineCall(peer, message))
        elif isinstance(message, Hello):
            self._sessions.welcome(peer, self._state())
        elif isinstance(message, CancelCall):
            self._cancel(peer, message)
        else:
            MALFORMED_MESSAGES.inc()

    def _start_call(self, nursery: trio.Nursery, call: OnlineCall) -> None:
        """Register a call before its task runs, so a cancel finds it."""
        if call.key in self._calls:
            DUPLICATES.inc()
            return
        self._calls[call.key] = call
        nursery.start_soon(self._answer, call)

    def _cancel(self, peer: bytes, cancel: CancelCall) -> None:
        call = self._calls.get((peer, cancel.request_id, cancel.attempt))
        if call is None:
            STALE_MESSAGES.inc()
            return
        CANCELLED.inc()
        call.scope.cancel()

    async def _send_heartbeats(self) -> None:
        while True:
            self.announce()
            await trio.sleep(HEARTBEAT_INTERVAL_S)

    def _end_session(self, peer: bytes) -> None:
        """Stop the calls of an entry that is gone or does not read."""
        self._sessions.end(peer)
        for call in self._calls.values():
            if call.peer == peer:
                call.scope.cancel()

    async def _answer(self, call: OnlineCall) -> None:
        submit = call.submit
        try:
            with (
                continue_trace(
                    submit.trace,
                    'sidecar:request',
                    request_id=submit.request_id,
                ),
                call.scope,
            ):
                await self._send_answer(call)
        finally:
            self._calls.pop(call.key)

    async def _send_answer(self, call: OnlineCall) -> None:
        """Send the answer; an entry that cannot take it has lost it all."""
        try:
            await self._sessions.send(call.peer, await self._finish_of(call))
        except (PeerUnreachableError, SlowReaderError):
            self._end_session(call.peer)

    async def _finish_of(self, call: OnlineCall) -> Finish:
        try:
            await self._run(call)
        except (PeerUnreachableError, SlowReaderError):
            raise
        except BriarrillError as exc:
            return call.finish_with(exc)
        except Exception as exc:
            # a defect met by one request must not end the others
            log_message('request:failed', error=repr(exc))
            return call.finish_with(InternalError(repr(exc), ran=call.ran))
        return call.finish()

    async def _run(self, call: OnlineCall) -> None:
        self._check(call)
        try:
            with trio.fail_after(max(0, call.time_left_s)):
                await self._run_admitted(call)
        except trio.TooSlowError as exc:
            raise DeadlineExceededError(
                'the deadline passed', ran=call.ran
            ) from exc

    def _check(self, call: OnlineCall) -> None:
        submit = call.submit
        if not self._sessions.has(call.peer, submit.session):
            STALE_MESSAGES.inc()
            raise NotReadyError('unknown session', retry_after_s=RETRY_AFTER_S)
        if self._readiness.is_draining:
            raise DrainingError(
                'the upstream is leaving', retry_after_s=RETRY_AFTER_S
            )
        if call.time_left_s <= 0:
            raise DeadlineUnreachableError('the deadline may have passed')
        if not submit.idempotent:
            self._remember(submit, f'{submit.request_id}/{submit.attempt}')

    async def _run_admitted(self, call: OnlineCall) -> None:
        submit = call.submit
        async with self.admission.online_slot(
            submit.contract, call.time_left_s
        ):
            if not submit.idempotent:
                self._remember(submit, submit.request_id)
            await self._relay(call)

    def _remember(self, submit: Submit, identifier: str) -> None:
        """Refuse what was received before, or has run, as another attempt."""
        if not self._recent.add(identifier, submit.time_left_s):
            DUPLICATES.inc()
            raise DuplicateError('received before', ran=Ran.UNKNOWN)

    async def _relay(self, call: OnlineCall) -> None:
        submit = call.submit
        call.ran = Ran.UNKNOWN
        try:
            async with self._upstream.open_call(
                Call(
                    method=submit.method,
                    path=submit.path,
                    body=submit.body,
                    content_type=submit.content_type,
                )
            ) as answer:
                await self._relay_answer(call, answer)
        except httpx.ConnectError as exc:
            call.ran = Ran.NO
            raise UpstreamFailedError(
                'the upstream refused the connection',
                ran=call.ran,
                retry_after_s=RETRY_AFTER_S,
            ) from exc
        except httpx.HTTPError as exc:
            raise UpstreamFailedError(
                f'the upstream failed: {exc!r}', ran=call.ran
            ) from exc

    async def _relay_answer(self, call: OnlineCall, answer: Answer) -> None:
        await self._upstream.check(answer)
        call.ran = Ran.YES
        call.http_status = answer.http_status
        call.content_type = answer.content_type
        async for body in answer.chunks:
            await self._sessions.send(call.peer, call.next_chunk(body))
        call.tokens = answer.tokens
