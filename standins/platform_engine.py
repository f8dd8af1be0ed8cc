"""standins.platform_engine: an upstream of the platform, scripted by tests.

Each request gets the next behaviour of a script: a resumable stream of
numbered events, a response in one piece, a rejection, a connection that is
cut, or bytes that are no HTTP response.
"""

from collections.abc import Awaitable, Callable

import attrs
import trio

from briarrill.transport.http_callers import (
    CallerConnection,
    CallerGoneError,
    CallerLimits,
)
from briarrill.transport.http_messages import (
    Headers,
    RequestHead,
    find_header,
)
from briarrill.transport.task_errors import unwrap_single_error

__all__ = (
    'ReceivedRequest',
    'StandinEngine',
    'encode_event',
    'reject_unexecuted',
    'respond_leaving',
    'respond_with',
    'stream_events',
)

REPORT_TARGET = b'/report'
HTTP_OK = 200

# response header of the upstream that must reach the caller unchanged
SEAL_HEADER = (b'briarrill-response-seal', b'3e1b.07')


@attrs.frozen
class ReceivedRequest:
    """A request that the upstream received."""

    head: RequestHead
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return the value of a request header, None without one."""
        return find_header(self.head.headers, name)

    @property
    def customers(self) -> list[bytes]:
        """Return all values of the header that names the customer."""
        return self._values(b'briarrill-tenant')

    @property
    def credentials(self) -> list[bytes]:
        """Return all credentials, which no upstream of customers gets."""
        return self._values(b'authorization')

    def _values(self, name: bytes) -> list[bytes]:
        return [text for key, text in self.head.headers if key == name]


#: Responds to one request; ``ConnectionResetError`` cuts the connection.
Behaviour = Callable[[ReceivedRequest, CallerConnection], Awaitable[None]]


def encode_event(number: int) -> bytes:
    """Return the server-sent event with this number, encoded."""
    return b'id: %d\ndata: word-%d\n\n' % (number, number)


def _headers(req: ReceivedRequest) -> Headers:
    attempt = req.header(b'briarrill-attempt-id') or b''
    return ((b'briarrill-attempt-id', attempt), SEAL_HEADER)


def stream_events(
    count: int, *, cut_after: int = 0, pause_s: float = 0
) -> Behaviour:
    """Return a behaviour that streams events up to number ``count``.

    The stream starts after the event that ``Last-Event-Id`` names.

    :param cut_after: number of events after which the connection is cut,
        0 for none.
    :param pause_s: seconds after each event.
    """

    async def respond(req: ReceivedRequest, conn: CallerConnection) -> None:
        first = int(req.header(b'last-event-id') or b'0') + 1
        await conn.send_head(200, _headers(req))
        for sent, number in enumerate(range(first, count + 1)):
            if cut_after and sent == cut_after:
                raise ConnectionResetError
            await conn.send_body(encode_event(number))
            await trio.sleep(pause_s)
        await conn.send_end()

    return respond


def respond_with(
    body: bytes, status: int = 200, extra: Headers = ()
) -> Behaviour:
    """Return a behaviour that sends the response in one piece."""

    async def respond(req: ReceivedRequest, conn: CallerConnection) -> None:
        await conn.send_response(status, (*_headers(req), *extra), body)

    return respond


def respond_leaving(body: bytes) -> Behaviour:
    """Return a behaviour that announces the upstream's departure."""
    return respond_with(body, 200, ((b'server-leaving', b'1'),))


def reject_unexecuted(status: int = 503) -> Behaviour:
    """Return a behaviour that rejects the request before running it."""
    return respond_with(b'', status, ((b'briarrill-not-executed', b'1'),))


class StandinEngine:
    """Responds to requests by a script, repeating its last behaviour.

    :ivar requests: requests received so far.
    :ivar behaviours: behaviours of the next requests, in order.
    :ivar reports: whether requests for a report are answered, and not passed
        to the script.
    :ivar disconnects: number of requests whose client disconnected before the
        response was complete.
    """

    def __init__(self, *behaviours: Behaviour, born: int = 0) -> None:
        """Set the script; the first request gets the first behaviour.

        :param born: start that its reports name, 0 for none.
        """
        self.born = born
        self.reports = True
        self.behaviours = list(behaviours)
        self.requests: list[ReceivedRequest] = []
        self.disconnects = 0

    async def serve(self, conn: CallerConnection) -> None:
        """Serve one connection until it is closed or cut."""
        while (head := await conn.read_request_head()) is not None:
            req = ReceivedRequest(head, await conn.read_body(head))
            if head.target == REPORT_TARGET and self.reports:
                report = f'{{"born": {self.born}}}'.encode()
                await conn.send_response(HTTP_OK, (), report)
                continue
            self.requests.append(req)
            respond = self.behaviours[0]
            if len(self.behaviours) > 1:
                self.behaviours.pop(0)
            try:
                await self._run_behaviour(respond, req, conn)
            except (ConnectionResetError, CallerGoneError):
                return
            if not conn.is_reusable:
                return

    def caller_limits(self) -> CallerLimits:
        """Return the limits of the HTTP server that runs the engine."""
        return CallerLimits()

    async def _run_behaviour(
        self, respond: Behaviour, req: ReceivedRequest, conn: CallerConnection
    ) -> None:
        with unwrap_single_error():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._count_disconnect, conn, nursery)
                await respond(req, conn)
                nursery.cancel_scope.cancel()

    async def _count_disconnect(
        self, conn: CallerConnection, nursery: trio.Nursery
    ) -> None:
        await conn.wait_disconnected()
        self.disconnects += 1
        nursery.cancel_scope.cancel()
