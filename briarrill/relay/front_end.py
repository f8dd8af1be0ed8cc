"""briarrill.relay.front_end: serves callers' HTTP connections."""

import contextlib
import math
import random
import time
from collections.abc import Awaitable, Callable, Iterator

import attrs
import trio
from eliot import log_message

from ..coordination.relay_protocol import (
    Call,
    Intent,
    IntentKind,
    IsJob,
    RelayProtocol,
)
from ..coordination.routes import RouteTable
from ..errors import (
    BriarrillError,
    DeadlineUnreachableError,
    DrainingError,
    NotFoundError,
    NotReadyError,
    OutcomeUnknownError,
    UnauthenticatedError,
)
from ..metrics import CANCELLED, REFUSED
from ..protocol.request_keys import request_key
from ..readiness import Readiness
from ..transport.http_callers import CallerConnection
from ..transport.http_messages import RequestHead
from ..transport.task_errors import unwrap_single_error
from .forwarding import Forwarder
from .response import Response
from .stop_limits import StopLimits

__all__ = ('FrontEnd', 'ServeJobRequest')

# Retry-After of an instance that is draining, has no configuration yet, or may
# lack what it was asked for
NOT_READY_RETRY_AFTER_S = 0.3

# longest time of a request about a job: a write, directly and through a peer,
# or a read with the longest wait
MAX_JOB_REQUEST_S = 4.0

ServeJobRequest = Callable[[Intent, bytes, CallerConnection], Awaitable[None]]


@attrs.define
class FrontEnd:
    """Reads callers' requests and forwards them or responds.

    :param routes: returns the routes in force, nothing before the first
        configuration.
    :param serve_job_request: serves the requests about batch jobs.
    :param is_job: tells which jobs are known to be stored.
    :param is_behind: whether this process may lack routes or jobs that others
        know.
    :param active_requests: requests that are being served.
    :ivar stop_limits: until when requests may begin and run.
    """

    protocol: RelayProtocol
    routes: Callable[[], RouteTable | None]
    forwarder: Forwarder
    serve_job_request: ServeJobRequest
    is_job: IsJob
    is_behind: Callable[[], bool]
    readiness: Readiness
    rng: random.Random
    active_requests: int = 0
    stop_limits: StopLimits = attrs.field(factory=StopLimits, init=False)
    _connections: set[CallerConnection] = attrs.field(factory=set, init=False)

    @property
    def has_connections(self) -> bool:
        """Whether any caller's connection is open."""
        return bool(self._connections)

    def begin_stop(self, rejects_after_s: float, ends_after_s: float) -> None:
        """Limit the times of requests, and announce the close.

        Responses to requests that arrive in a drain announce it anyway.

        :param rejects_after_s: time after which no request is accepted.
        :param ends_after_s: time after which those that run are ended.
        """
        now = trio.current_time()
        self.stop_limits.begin(now + rejects_after_s, now + ends_after_s)
        for conn in self._connections:
            conn.closes_after_response = True

    def close_idle(self) -> None:
        """Close the connections that have no request in progress."""
        for conn in self._connections:
            conn.close_if_idle()

    async def serve(self, conn: CallerConnection) -> None:
        """Serve the requests of one connection until it closes."""
        self._connections.add(conn)
        try:
            may_continue = True
            while may_continue:
                may_continue = await self._serve_next_request(conn)
        finally:
            self._connections.discard(conn)

    async def _serve_next_request(self, conn: CallerConnection) -> bool:
        """Serve one request; return whether the connection is reusable."""
        try:
            head = await conn.read_request_head()
        except BriarrillError as exc:
            conn.closes_after_response = True
            await self._send_error(conn, '', exc)
            await conn.drain_unread_input()
            return False
        if head is None:
            return False
        conn.closes_after_response = self.readiness.is_draining
        self.active_requests += 1
        try:
            await self._serve_request(conn, head)
        finally:
            self.active_requests -= 1
        if conn.is_reusable:
            return True
        if conn.is_response_complete:
            await conn.drain_unread_input()
        return False

    async def _serve_request(
        self, conn: CallerConnection, head: RequestHead
    ) -> None:
        """Respond to one request; cancel it when the caller disconnects."""
        arrived_at = time.monotonic()
        try:
            intent, body = await self._read_request(conn, head)
        except BriarrillError as exc:
            conn.closes_after_response = True
            await self._send_error(conn, self.protocol.request_id(head), exc)
            return
        with unwrap_single_error():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_disconnect, conn, nursery)
                await self._dispatch(conn, head, intent, body, arrived_at)
                nursery.cancel_scope.cancel()

    async def _read_request(
        self, conn: CallerConnection, head: RequestHead
    ) -> tuple[Intent, bytes]:
        """Read the body and determine what the caller requests.

        :raises BriarrillError: the process is not ready or draining, or the
            request is invalid.
        """
        routes = self.routes()
        if self.readiness.rejects_work:
            raise DrainingError(
                'the entry is draining', retry_after_s=NOT_READY_RETRY_AFTER_S
            )
        if routes is None:
            raise NotReadyError(
                'the entry has no configuration yet',
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )
        intent = self._read_intent(head, routes)
        with self._arriving(intent) as scope, scope:
            return intent, await conn.read_body(head)
        if self.readiness.is_draining:
            raise DrainingError(
                'the entry is draining, and the request could not end in time',
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )
        raise DeadlineUnreachableError(
            'the request was not complete before its deadline'
        )

    def _arriving(
        self, intent: Intent
    ) -> contextlib.AbstractContextManager[trio.CancelScope]:
        """Limit the time until a request whose head was read may begin."""
        if intent.kind is not IntentKind.FORWARD:
            return self.stop_limits.arriving(MAX_JOB_REQUEST_S)
        return self.stop_limits.arriving(
            _time_limit_s(intent), trio.current_time()
        )

    def _read_intent(self, head: RequestHead, routes: RouteTable) -> Intent:
        """Determine what the caller requests.

        :raises NotReadyError: others may know the route or the API key.
        :raises NotFoundError: there is no route.
        :raises UnauthenticatedError: the API key is missing or unknown.
        :raises BadRequestError: a header is missing or malformed.
        """
        try:
            return self.protocol.read_intent(head, routes, self.is_job)
        except (NotFoundError, UnauthenticatedError) as exc:
            if not self.is_behind():
                raise
            raise NotReadyError(
                f'{exc.message} in version {routes.version}, which may be old',
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            ) from exc

    async def _dispatch(
        self,
        conn: CallerConnection,
        head: RequestHead,
        intent: Intent,
        body: bytes,
        arrived_at: float,
    ) -> None:
        """Forward a request or serve it as a job request.

        An error is sent unless the response has begun.
        """
        response = Response(conn, self.protocol, intent.last_event_id)
        try:
            with self.stop_limits.running() as scope:
                if intent.kind is IntentKind.FORWARD:
                    call = self._make_call(head, intent, body, arrived_at)
                    await self.forwarder.forward(call, response, scope)
                else:
                    await self._serve_job_request(intent, body, conn, scope)
        except BriarrillError as exc:
            if response.has_begun:
                # the status is sent, so closing early is the only signal
                log_message(
                    'request:cut',
                    request_id=intent.request_id,
                    reason=exc.message,
                )
            elif not await response.send_stored_failure():
                await self._send_error(conn, intent.request_id, exc)

    async def _serve_job_request(
        self,
        intent: Intent,
        body: bytes,
        conn: CallerConnection,
        cut_off: trio.CancelScope,
    ) -> None:
        """Serve a request about a job until it is cut off.

        :raises OutcomeUnknownError: a write was cut off.
        :raises DrainingError: a read was cut off.
        """
        with cut_off, _log_if_caller_left(intent, cut_off):
            await self.serve_job_request(intent, body, conn)
        if not cut_off.cancelled_caught:
            return
        if intent.kind in {IntentKind.SUBMIT_JOB, IntentKind.END_JOB}:
            raise OutcomeUnknownError('the entry stops during the write')
        raise DrainingError(
            'the entry stops', retry_after_s=NOT_READY_RETRY_AFTER_S
        )

    def _make_call(
        self,
        head: RequestHead,
        intent: Intent,
        body: bytes,
        arrived_at: float,
    ) -> Call:
        """Return the call to forward, with service and deadline chosen."""
        route = intent.require_route()
        return Call(
            request_id=intent.request_id,
            route=route,
            service=route.choose_service(self.rng),
            head=head,
            body=body,
            deadline_s=arrived_at + _time_limit_s(intent),
            last_event_id=intent.last_event_id,
            resumed_id=intent.resumed_id,
            prompt_parts=self.protocol.prompt_parts(head),
            request_key=request_key(
                self.protocol.caller(head, intent.customer),
                head.method,
                head.target,
                body,
            ),
            customer=intent.customer,
            work=self.protocol.work(head),
            asks_for_keys=intent.asks_for_keys,
        )

    async def _send_error(
        self, conn: CallerConnection, request_id: str, exc: BriarrillError
    ) -> None:
        """Count, log and send an error of the relay itself."""
        REFUSED.labels(exc.code.name).inc()
        log_message(
            'request:refused',
            request_id=request_id,
            code=exc.code.value,
            reason=exc.message,
            ran=exc.ran.value,
            retry_after_s=exc.retry_after_s,
        )
        await conn.send_response(
            exc.http_status,
            self.protocol.error_headers(exc),
            f'{exc.code.value} {exc.message}\n'.encode(),
        )


def _time_limit_s(intent: Intent) -> float:
    """Return the time limit of a forwarded request; 0 stands for none."""
    route = intent.require_route()
    return min(intent.time_left_s, route.timeout_s) or math.inf


@contextlib.contextmanager
def _log_if_caller_left(
    intent: Intent, cut_off: trio.CancelScope
) -> Iterator[None]:
    """Log a job request whose caller disconnected before the response.

    :param cut_off: the scope whose end is another reason.
    """
    began_at = time.monotonic()
    try:
        yield
    except trio.Cancelled:
        if cut_off.cancel_called:
            raise
        log_message(
            'job:caller-left',
            job=intent.job_id,
            call=intent.kind.name,
            after_s=round(time.monotonic() - began_at, 3),
        )
        raise


async def _cancel_on_disconnect(
    conn: CallerConnection, nursery: trio.Nursery
) -> None:
    """Wait until the caller disconnects, then cancel its request."""
    await conn.wait_disconnected()
    CANCELLED.inc()
    nursery.cancel_scope.cancel()
