"""briarrill.sidecar.online: serves online requests from entries."""

import httpx
import trio
from eliot import log_message

from ..coordination.admission import Admission
from ..coordination.upstream_ends import PromptRun
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
from ..protocol.codec import decode_or_none
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
from .engine_ends import EngineEnds
from .entry_sessions import EntrySessions, SidecarIdentity, SidecarState
from .online_call import CallKey, OnlineCall
from .recent_ids import RecentIds
from .upstreams import Upstream, UpstreamRequest, UpstreamResponse

__all__ = ('OnlineServer', 'SidecarIdentity')

HEARTBEAT_INTERVAL_S = 0.25

# sent with rejections that the entry may retry elsewhere at once
REJECTED_RETRY_AFTER_S = 1.0


class OnlineServer:
    """Keeps sessions with entries and relays their requests.

    :param socket: bound router socket.
    :param identity: name and service of the sidecar.
    :param upstream: runs the requests.
    :param admission: limits running and queued requests.
    """

    def __init__(
        self,
        socket: ZmqSocket,
        identity: SidecarIdentity,
        upstream: Upstream,
        admission: Admission,
        readiness: Readiness,
    ) -> None:
        """Create a server without sessions."""
        self.models: tuple[str, ...] = ()
        self._socket = socket
        self._sessions = EntrySessions(socket, identity)
        self._upstream = upstream
        self.admission = admission
        self._readiness = readiness
        self._calls: dict[CallKey, OnlineCall] = {}
        self._recent_ids = RecentIds()
        self.ends = EngineEnds(identity.process, upstream.client.base_url)

    @property
    def in_flight(self) -> int:
        """Return the number of requests that have not ended."""
        return len(self._calls)

    def load(self) -> LoadReport:
        """Return the current load for heartbeats."""
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
            nursery.start_soon(self.ends.run)
            while True:
                peer, *frames = await self._socket.receive()
                message = decode_or_none(frames)
                if message is not None:
                    self._handle_message(nursery, peer, message)

    def broadcast_heartbeat(self) -> None:
        """Send a heartbeat to all sessions; end those without a peer."""
        for peer in self._sessions.broadcast_heartbeat(self._current_state()):
            self._end_session(peer)

    def _current_state(self) -> SidecarState:
        return SidecarState(
            load=self.load(),
            models=self.models,
            draining=self._readiness.is_draining,
            prompt_news=self.ends.news,
        )

    def _handle_message(
        self, nursery: trio.Nursery, peer: bytes, message: Message
    ) -> None:
        if isinstance(message, Submit):
            self._start_call(nursery, OnlineCall(peer, message))
        elif isinstance(message, Hello):
            self._sessions.welcome(peer, self._current_state())
        elif isinstance(message, CancelCall):
            self._cancel_call(peer, message)
        else:
            MALFORMED_MESSAGES.inc()

    def _start_call(self, nursery: trio.Nursery, call: OnlineCall) -> None:
        """Register a call and start its task.

        It is registered first, so that a cancel that follows it finds it.
        """
        if call.key in self._calls:
            DUPLICATES.inc()
            return
        self._calls[call.key] = call
        nursery.start_soon(self._serve_call, call)

    def _cancel_call(self, peer: bytes, cancel: CancelCall) -> None:
        """Cancel a call; the cancel of an ended call counts as stale."""
        call = self._calls.get((peer, cancel.request_id, cancel.attempt))
        if call is None:
            STALE_MESSAGES.inc()
            return
        CANCELLED.inc()
        call.scope.cancel()

    async def _send_heartbeats(self) -> None:
        while True:
            self.broadcast_heartbeat()
            await trio.sleep(HEARTBEAT_INTERVAL_S)

    def _end_session(self, peer: bytes) -> None:
        """Remove the session of an entry and cancel its calls."""
        self._sessions.remove(peer)
        for call in self._calls.values():
            if call.peer == peer:
                call.scope.cancel()

    async def _serve_call(self, call: OnlineCall) -> None:
        """Run a call in its trace and cancel scope; remove it at its end."""
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
                await self._run_and_send_finish(call)
        finally:
            self._calls.pop(call.key)

    async def _run_and_send_finish(self, call: OnlineCall) -> None:
        """Run a call and send its end; if that fails, end the session.

        An unreachable or slow entry also loses its other calls.
        """
        try:
            await self._sessions.send(
                call.peer, await self._run_to_finish(call)
            )
        except (PeerUnreachableError, SlowReaderError):
            self._end_session(call.peer)

    async def _run_to_finish(self, call: OnlineCall) -> Finish:
        """Run a call; return the message that ends its response.

        :raises PeerUnreachableError: the entry has disconnected.
        :raises SlowReaderError: the entry's queue stayed full.
        """
        try:
            await self._check_and_run(call)
        except (PeerUnreachableError, SlowReaderError):
            raise
        except BriarrillError as exc:
            return call.make_error_finish(exc)
        except Exception as exc:
            # an unexpected exception of one request must not stop the server
            log_message('request:failed', error=repr(exc))
            return call.make_error_finish(
                InternalError(repr(exc), ran=call.ran)
            )
        return call.make_finish()

    async def _check_and_run(self, call: OnlineCall) -> None:
        """Check a call and relay it before its deadline.

        :raises BriarrillError: the call was rejected or has failed.
        """
        self._check_submit(call)
        try:
            with trio.fail_after(max(0, call.time_left_s)):
                await self._run_admitted(call)
        except trio.TooSlowError as exc:
            raise DeadlineExceededError(
                'the deadline passed at the sidecar', ran=call.ran
            ) from exc

    def _check_submit(self, call: OnlineCall) -> None:
        """Reject a call before it waits for a slot.

        :raises NotReadyError: its session is unknown.
        :raises DrainingError: the sidecar is draining.
        :raises DeadlineUnreachableError: no time may be left.
        :raises DuplicateError: this attempt was received before.
        """
        submit = call.submit
        if not self._sessions.is_current(call.peer, submit.session):
            STALE_MESSAGES.inc()
            raise NotReadyError(
                'the entry has no session with this sidecar',
                retry_after_s=REJECTED_RETRY_AFTER_S,
            )
        if self._readiness.is_draining:
            raise DrainingError(
                'the sidecar is draining', retry_after_s=REJECTED_RETRY_AFTER_S
            )
        if call.time_left_s <= 0:
            raise DeadlineUnreachableError(
                'the deadline may have passed before the request arrived'
            )
        if not submit.idempotent:
            self._reject_duplicate(
                submit, f'{submit.request_id}/{submit.attempt}'
            )

    async def _run_admitted(self, call: OnlineCall) -> None:
        """Wait for a slot, then relay the call."""
        submit = call.submit
        async with self.admission.online_slot(
            submit.contract, call.time_left_s
        ):
            if not submit.idempotent:
                self._reject_duplicate(submit, submit.request_id)
            await self._relay(call)

    def _reject_duplicate(self, submit: Submit, identifier: str) -> None:
        """Record an identifier; reject a request that repeats one.

        :raises DuplicateError: the identifier was recorded before.
        """
        if not self._recent_ids.add(identifier, submit.time_left_s):
            DUPLICATES.inc()
            raise DuplicateError(
                f'request {submit.request_id!r} was received before',
                ran=Ran.UNKNOWN,
            )

    async def _relay(self, call: OnlineCall) -> None:
        """Send the request to the upstream and its response to the entry.

        :raises UpstreamFailedError: the connection to the upstream failed.
        """
        submit = call.submit
        call.ran = Ran.UNKNOWN
        req = UpstreamRequest(
            method=submit.method,
            path=submit.path,
            body=submit.body,
            content_type=submit.content_type,
        )
        try:
            with self.ends.track(submit.body, submit.request_key) as run:
                async with self._upstream.send(req) as response:
                    await self._relay_response(call, response, run)
        except httpx.ConnectError as exc:
            call.ran = Ran.NO
            raise UpstreamFailedError(
                'the upstream refused the connection',
                ran=call.ran,
                retry_after_s=REJECTED_RETRY_AFTER_S,
            ) from exc
        except httpx.HTTPError as exc:
            raise UpstreamFailedError(
                f'the upstream failed: {exc!r}', ran=call.ran
            ) from exc

    async def _relay_response(
        self, call: OnlineCall, response: UpstreamResponse, run: PromptRun
    ) -> None:
        """Send the chunks of the response to the entry as they arrive."""
        await self._upstream.raise_for_error(response)
        call.ran = Ran.YES
        call.http_status = response.http_status
        call.content_type = response.content_type
        async for body in response.chunks:
            run.record_bytes()
            await self._sessions.send(call.peer, call.make_chunk(body))
        call.tokens = response.tokens
        run.record_end(response.http_status, is_marked=True)
