"""standins.platform_engine: an upstream of the users' platform.

Answers as its script says, so that a test can choose each fault: streams
with numbered events that resume, whole answers, refusals, cuts and bytes
that are no answer.
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

__all__ = ('Run', 'StandinEngine', 'event', 'refuse', 'stream', 'whole')

SEAL = (b'briarrill-response-seal', b'3e1b.07')


@attrs.frozen
class Run:
    """A request that the upstream took."""

    head: RequestHead
    body: bytes

    def header(self, name: bytes) -> bytes | None:
        """Return a header of the request."""
        return find_header(self.head.headers, name)


#: Answers one request; may leave the connection open or not.
Behaviour = Callable[[Run, CallerConnection], Awaitable[None]]


def event(number: int) -> bytes:
    """Return an event as engines send it."""
    return b'id: %d\ndata: word-%d\n\n' % (number, number)


def _headers(run: Run) -> Headers:
    attempt = run.header(b'briarrill-attempt-id') or b''
    return ((b'briarrill-attempt-id', attempt), SEAL)


def stream(count: int, *, cut_after: int = 0, pause_s: float = 0) -> Behaviour:
    """Stream numbered events, from the one after ``Last-Event-Id``.

    :param cut_after: close the connection after this many events.
    """

    async def behave(run: Run, conn: CallerConnection) -> None:
        first = int(run.header(b'last-event-id') or b'0') + 1
        await conn.send_head(200, _headers(run))
        for sent, number in enumerate(range(first, count + 1)):
            if cut_after and sent == cut_after:
                raise ConnectionResetError
            await conn.send_body(event(number))
            await trio.sleep(pause_s)
        await conn.send_end()

    return behave


def whole(body: bytes, status: int = 200, extra: Headers = ()) -> Behaviour:
    """Answer with a whole body."""

    async def behave(run: Run, conn: CallerConnection) -> None:
        await conn.send_response(status, (*_headers(run), *extra), body)

    return behave


def refuse(status: int = 503) -> Behaviour:
    """Say that the request was not run."""
    return whole(b'', status, ((b'briarrill-not-executed', b'1'),))


class StandinEngine:
    """Takes requests and plays behaviours in turn, the last one again.

    :ivar runs: requests that it took.
    :ivar left: requests whose connection the other side closed early.
    """

    def __init__(self, *behaviours: Behaviour) -> None:
        """Start with the first behaviour."""
        self.behaviours = list(behaviours)
        self.runs: list[Run] = []
        self.left = 0

    async def serve(self, conn: CallerConnection) -> None:
        """Serve one connection."""
        while (head := await conn.read_request_head()) is not None:
            run = Run(head, await conn.read_body(head))
            self.runs.append(run)
            behave = self.behaviours[0]
            if len(self.behaviours) > 1:
                self.behaviours.pop(0)
            try:
                await self._play(behave, run, conn)
            except (ConnectionResetError, CallerGoneError):
                return
            if not conn.is_reusable:
                return

    def caller_limits(self) -> CallerLimits:
        """Return the limits of a connection."""
        return CallerLimits()

    async def _play(
        self, behave: Behaviour, run: Run, conn: CallerConnection
    ) -> None:
        with unwrap_single_error():
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._note_leaving, conn, nursery)
                await behave(run, conn)
                nursery.cancel_scope.cancel()

    async def _note_leaving(
        self, conn: CallerConnection, nursery: trio.Nursery
    ) -> None:
        await conn.wait_disconnected()
        self.left += 1
        nursery.cancel_scope.cancel()
