"""Replies to the question who an upstream is, written once more or late."""

import enum

import attrs
import pytest
import trio

from briarrill.transport.http_callers import CallerLimits
from tests.relay.front_end_setup import (
    IDEMPOTENT,
    RESUMABLE_STREAM,
    run_front_end,
)
from tests.repeating_engine import (
    PAUSE_S,
    answer_body,
    encode_message,
    id_line,
    read_request_id,
)

EVENTS = b'content-type: text/event-stream'
JSON = b'content-type: application/json'
REPORT = b'{"born":7}'


class When(enum.Enum):
    """When the copy of a reply is written."""

    WITH_REPLY = enum.auto()
    AFTER_REPLY = enum.auto()
    BEFORE_ANSWER = enum.auto()
    WITH_ANSWER = enum.auto()


@attrs.define
class _ReportingEngine:
    """Tells who it is, and writes an earlier response once more.

    :param copied: the response that comes once more, encoded; the reply if
        empty.
    :param names_calls: whether answers echo the identifier of their request.
    """

    when: When | None = None
    copied: bytes = b''
    reply: bytes = encode_message(200, REPORT, lines=(JSON,))
    names_calls: bool = True
    ran_ids: list = attrs.field(factory=list)

    async def serve(self, conn):
        """Answer the requests of one connection."""
        unsent = b''
        while (request_id := await read_request_id(conn)) is not None:
            if request_id:
                self.ran_ids.append(request_id)
                await self._send(conn, unsent, self._answer(request_id))
                unsent = b''
            elif self.copied:
                await self._send(conn, self.copied, self.reply)
            else:
                unsent = await self._reply(conn)

    def caller_limits(self):
        """Return the limits of the HTTP server that runs the engine."""
        return CallerLimits()

    def _answer(self, request_id):
        lines = (id_line(request_id),) if self.names_calls else ()
        body = answer_body(request_id)
        return encode_message(200, body, lines=(EVENTS, *lines))

    async def _reply(self, conn):
        """Reply to the question; return what comes before the answer."""
        if self.when is When.WITH_REPLY:
            await conn._send(self.reply + self.reply)
            return b''
        await conn._send(self.reply)
        if self.when is When.AFTER_REPLY:
            await conn._send(self.reply)
            return b''
        return b'' if self.when is None else self.reply

    async def _send(self, conn, before, last):
        if self.when is When.WITH_ANSWER:
            await conn._send(before + last)
            return
        if before:
            await conn._send(before)
            await trio.sleep(PAUSE_S)
        await conn._send(last)


def _register(setup):
    """Let the upstreams' registrations name their start."""
    for number in range(2):
        upstream = setup.upstreams.find(f'i-{number}')
        setup.upstreams.register(
            attrs.evolve(upstream, version='v1', incarnation=f'i-{number}/7')
        )


async def _send(setup, route, request_id):
    status, _, body = await setup.send_request(
        route.prefix, attempt_id=request_id
    )
    return status, body


@pytest.mark.parametrize('when', list(When))
@pytest.mark.parametrize('names_calls', [True, False])
async def test_copy_of_a_status_reply_answers_no_request(
    network, when, names_calls
):
    """Guards against a report that a caller gets as its stream."""
    first = _ReportingEngine(when, names_calls=names_calls)
    second = _ReportingEngine()
    async with run_front_end(
        [RESUMABLE_STREAM], first, second, network=network
    ) as setup:
        _register(setup)
        for request_id in ('r1', 'r2', 'r3'):
            got = await _send(setup, RESUMABLE_STREAM, request_id)
            assert got == (200, answer_body(request_id))


@pytest.mark.parametrize('when', [When.BEFORE_ANSWER, When.WITH_ANSWER])
async def test_copy_of_an_answer_is_no_status_reply(network, when):
    """Guards against attempts lost to the reply that comes after the copy."""
    copied = encode_message(429, b'busy', lines=(id_line('r1'),))
    engines = (_ReportingEngine(when, copied), _ReportingEngine())
    async with run_front_end(
        [IDEMPOTENT, RESUMABLE_STREAM], *engines, network=network
    ) as setup:
        _register(setup)
        await _send(setup, IDEMPOTENT, 'r1')
        got = await _send(setup, RESUMABLE_STREAM, 'r2')
    assert got == (200, answer_body('r2'))
    assert [engine.ran_ids for engine in engines] == [['r1', 'r2'], []]


@pytest.mark.parametrize('status', [200, 404])
async def test_upstream_that_echoes_nothing_is_relayed(network, status):
    """Its replies to the question are no reason to doubt its answers."""
    reply = encode_message(status, REPORT, lines=(JSON,))
    engines = [
        _ReportingEngine(reply=reply, names_calls=False) for _ in range(2)
    ]
    async with run_front_end(
        [RESUMABLE_STREAM], *engines, network=network
    ) as setup:
        _register(setup)
        for request_id in ('r1', 'r2'):
            got = await _send(setup, RESUMABLE_STREAM, request_id)
            assert got == (200, answer_body(request_id))
    assert [engine.ran_ids for engine in engines] == [['r1', 'r2'], []]
