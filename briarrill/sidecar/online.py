"""briarrill.sidecar.online: answers the entries' online requests."""

import time
import uuid

import attrs
import httpx
import trio

from ..coordination.admission import Admission
from ..coordination.deadlines import time_left_at_receiver
from ..errors import (
    BriarrillError,
    DeadlineExceededError,
    DeadlineUnreachableError,
    DrainingError,
    DuplicateError,
    MalformedMessageError,
    NotReadyError,
    PeerUnreachableError,
    UpstreamFailedError,
)
from ..metrics import (
    CANCELLED,
    DUPLICATES,
    MALFORMED_MESSAGES,
    REFUSED,
    STALE_MESSAGES,
)
from ..protocol.codec import decode, encode
from ..protocol.messages import (
    CancelCall,
    Chunk,
    Finish,
    Heartbeat,
    Hello,
    LoadReport,
    Message,
    Submit,
    Welcome,
)
from ..result_codes import Ran
from ..runtime import Readiness
from ..tracing import continue_trace
from ..transport.zmq_socket import ZmqSocket
from .recent_ids import RecentIds
from .upstreams import Call, Upstream

__all__ = ('Identity', 'OnlineServer')

HEARTBEAT_INTERVAL_S = 0.25

CallKey = tuple[bytes, str, int]


@attrs.frozen
class Identity:
    """Who the sidecar is and what it stands beside."""

    process: str
    service: str = ''


@attrs.define
class _Progress:
    """How far a request came."""

    ran: Ran = Ran.NO
    chunks: int = 0
    tokens: int = 0
    http_status: int = 200
    content_type: str = ''
    is_cancelled: bool = False


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
        self._identity = identity
        self._upstream = upstream
        self.admission = admission
        self._readiness = readiness
        self._sessions: dict[bytes, str] = {}
        self._calls: dict[CallKey, trio.CancelScope] = {}
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
                try:
                    message = decode(frames)
                except MalformedMessageError:
                    MALFORMED_MESSAGES.inc()
                    continue
                self._dispatch(nursery, peer, message)

    def announce(self) -> None:
        """Send a heartbeat to all sessions now."""
        for peer in list(self._sessions):
            self._send_heartbeat(peer)

    def _dispatch(
        self, nursery: trio.Nursery, peer: bytes, message: Message
    ) -> None:
        if isinstance(message, Submit):
            nursery.start_soon(self._answer, peer, message)
        elif isinstance(message, Hello):
            self._welcome(peer)
        elif isinstance(message, CancelCall):
            self._cancel(peer, message)
        else:
            MALFORMED_MESSAGES.inc()

    def _welcome(self, peer: bytes) -> None:
        session = self._sessions.setdefault(peer, uuid.uuid4().hex)
        self._send(
            peer,
            Welcome(
                session=session,
                process=self._identity.process,
                clock_s=time.monotonic(),
                models=self.models,
                service=self._identity.service,
                draining=self._readiness.is_draining,
            ),
        )

    def _cancel(self, peer: bytes, cancel: CancelCall) -> None:
        scope = self._calls.get((peer, cancel.request_id, cancel.attempt))
        if scope is None:
            STALE_MESSAGES.inc()
            return
        CANCELLED.inc()
        scope.cancel()

    async def _send_heartbeats(self) -> None:
        while True:
            self.announce()
            await trio.sleep(HEARTBEAT_INTERVAL_S)

    def _send_heartbeat(self, peer: bytes) -> None:
        heartbeat = Heartbeat(
            session=self._sessions[peer],
            clock_s=time.monotonic(),
            load=self.load(),
            models=self.models,
            service=self._identity.service,
            draining=self._readiness.is_draining,
        )
        if not self._send(peer, heartbeat):
            self._end_session(peer)

    def _end_session(self, peer: bytes) -> None:
        self._sessions.pop(peer)
        for key, scope in self._calls.items():
            if key[0] == peer:
                scope.cancel()

    def _send(self, peer: bytes, message: Message) -> bool:
        try:
            self._socket.send([peer, *encode(message)])
        except PeerUnreachableError:
            return False
        return True

    async def _answer(self, peer: bytes, submit: Submit) -> None:
        with continue_trace(
            submit.trace, 'sidecar:request', request_id=submit.request_id
        ):
            finish = await self._finish_of(peer, submit)
        if finish is not None:
            self._send(peer, finish)

    async def _finish_of(self, peer: bytes, submit: Submit) -> Finish | None:
        progress = _Progress()
        try:
            self._check(peer, submit)
            await self._run_scoped(peer, submit, progress)
        except BriarrillError as exc:
            if exc.ran is Ran.NO:
                REFUSED.labels(exc.code.name).inc()
            return _finish_with_error(submit, progress, exc)
        if progress.is_cancelled:
            return None
        return Finish(
            request_id=submit.request_id,
            attempt=submit.attempt,
            chunks=progress.chunks,
            http_status=progress.http_status,
            content_type=progress.content_type,
            tokens=progress.tokens,
        )

    def _check(self, peer: bytes, submit: Submit) -> None:
        if submit.session != self._sessions.get(peer):
            STALE_MESSAGES.inc()
            raise NotReadyError('unknown session')
        if self._readiness.is_draining:
            raise DrainingError('the upstream is leaving')
        if _time_left_s(submit) <= 0:
            raise DeadlineUnreachableError('the deadline may have passed')
        if submit.idempotent:
            return
        if not self._recent.add(submit.request_id, submit.time_left_s):
            DUPLICATES.inc()
            raise DuplicateError('received before', ran=Ran.UNKNOWN)

    async def _run_scoped(
        self, peer: bytes, submit: Submit, progress: _Progress
    ) -> None:
        key = (peer, submit.request_id, submit.attempt)
        with trio.CancelScope() as scope:
            self._calls[key] = scope
            try:
                await self._run_until_deadline(peer, submit, progress)
            finally:
                self._calls.pop(key)
        progress.is_cancelled = scope.cancelled_caught

    async def _run_until_deadline(
        self, peer: bytes, submit: Submit, progress: _Progress
    ) -> None:
        try:
            with trio.fail_after(_time_left_s(submit)):
                async with self.admission.online_slot(submit.contract):
                    await self._relay(peer, submit, progress)
        except trio.TooSlowError as exc:
            raise DeadlineExceededError(
                'the deadline passed', ran=progress.ran
            ) from exc

    async def _relay(
        self, peer: bytes, submit: Submit, progress: _Progress
    ) -> None:
        call = Call(
            method=submit.method,
            path=submit.path,
            body=submit.body,
            content_type=submit.content_type,
        )
        try:
            progress.ran = Ran.UNKNOWN
            async with self._upstream.open_call(call) as answer:
                progress.ran = Ran.YES
                progress.http_status = answer.http_status
                progress.content_type = answer.content_type
                async for body in answer.chunks:
                    self._send_chunk(peer, submit, progress, body)
                progress.tokens = answer.tokens
        except httpx.ConnectError as exc:
            raise UpstreamFailedError(
                'the upstream refused the connection', ran=Ran.NO
            ) from exc
        except httpx.HTTPError as exc:
            raise UpstreamFailedError(
                f'the upstream failed: {exc!r}', ran=progress.ran
            ) from exc

    def _send_chunk(
        self, peer: bytes, submit: Submit, progress: _Progress, body: bytes
    ) -> None:
        chunk = Chunk(
            request_id=submit.request_id,
            attempt=submit.attempt,
            seq=progress.chunks,
            body=body,
        )
        progress.chunks += 1
        if not self._send(peer, chunk):
            raise PeerUnreachableError('the entry is gone', ran=Ran.YES)


def _time_left_s(submit: Submit) -> float:
    return time_left_at_receiver(
        submit.time_left_s, submit.peer_clock_s, submit.peer_clock_age_s
    )


def _finish_with_error(
    submit: Submit, progress: _Progress, exc: BriarrillError
) -> Finish:
    return Finish(
        request_id=submit.request_id,
        attempt=submit.attempt,
        chunks=progress.chunks,
        code=exc.code,
        ran=exc.ran,
        message=exc.message,
        retry_after_s=exc.retry_after_s,
        http_status=exc.http_status,
    )
