"""Tests of asking who is behind a connection."""

import pytest
import trio

from briarrill.coordination.incarnation_check import is_registered_process
from briarrill.coordination.upstream_table import RegisteredUpstream
from briarrill.errors import PeerUnreachableError
from briarrill.platform.relay_protocol import PlatformRelayProtocol
from briarrill.transport.http_channel import connect
from standins.platform_engine import StandinEngine, respond_with
from tests.endless_engine import (
    MAX_SENT_BYTES,
    EndlessEngine,
    dribbling_engine,
    every_endless_response,
)
from tests.repeating_engine import encode_message, id_line
from tests.serving import free_port, serve_standin

PROTOCOL = PlatformRelayProtocol()


def _upstream(address, born=5):
    return RegisteredUpstream(
        'i-1', 'llm', address, 'a', 1, incarnation=f'i-1/{born}'
    )


@pytest.mark.parametrize(
    ('registered', 'reported', 'expected'),
    [(5, 5, True), (5, 6, False), (5, 0, True), (0, 6, True)],
)
async def test_process_is_told_by_its_start(registered, reported, expected):
    engine = StandinEngine(respond_with(b''), born=reported)
    async with serve_standin(engine, ('127.0.0.1', free_port())) as address:
        channel = await connect(address, 1)
        upstream = _upstream(address, registered)
        for _ in range(2):
            found = await is_registered_process(PROTOCOL, channel, upstream)
            assert found == expected
        channel.close()


async def test_connection_is_asked_once_and_used_further():
    engine = StandinEngine(respond_with(b'x'), born=5)
    async with serve_standin(engine, ('127.0.0.1', free_port())) as address:
        channel = await connect(address, 1)
        upstream = _upstream(address)
        assert await is_registered_process(PROTOCOL, channel, upstream)
        engine.born = 6
        assert await is_registered_process(PROTOCOL, channel, upstream)
        assert channel.is_usable
        channel.close()


async def test_connection_is_closed_if_its_user_gives_up():
    async def stay_silent(_req, _conn):
        await trio.sleep_forever()

    engine = StandinEngine(stay_silent)
    engine.reports = False
    async with serve_standin(engine, ('127.0.0.1', free_port())) as address:
        channel = await connect(address, 1)
        with trio.move_on_after(0.05):
            await is_registered_process(PROTOCOL, channel, _upstream(address))
        with trio.fail_after(5):
            while not engine.disconnects:
                await trio.sleep(0.01)


async def test_connection_that_breaks_before_a_reply_carries_no_request():
    async def break_off(_req, _conn):
        raise ConnectionResetError

    engine = StandinEngine(break_off, born=5)
    engine.reports = False
    async with serve_standin(engine, ('127.0.0.1', free_port())) as address:
        channel = await connect(address, 1)
        with pytest.raises(PeerUnreachableError):
            await is_registered_process(PROTOCOL, channel, _upstream(address))


async def test_late_response_to_a_request_is_not_read_as_the_reply():
    """Guards against another process that passes for the registered one."""

    async def answer_late(req, conn):
        if req.head.target == b'/report':
            late = encode_message(200, b'late', lines=(id_line('r1'),))
            await conn._send(late + encode_message(200, b'{"born": 6}'))
            await trio.sleep_forever()

    engine = StandinEngine(answer_late)
    engine.reports = False
    async with serve_standin(engine, ('127.0.0.1', free_port())) as address:
        channel = await connect(address, 1)
        found = await is_registered_process(
            PROTOCOL, channel, _upstream(address, born=5)
        )
        assert not found
        channel.close()


@every_endless_response
@pytest.mark.parametrize('make_engine', [EndlessEngine, dribbling_engine])
async def test_reply_without_end_is_given_up(network, kind, make_engine):
    engine = make_engine(kind)
    async with serve_standin(engine, (f'{network}.1', 8080)) as address:
        channel = await connect(address, 1)
        with trio.fail_after(5):
            with pytest.raises(PeerUnreachableError):
                await is_registered_process(
                    PROTOCOL, channel, _upstream(address)
                )
            while not engine.is_cut:
                await trio.sleep(0.01)
    assert engine.sent_bytes < MAX_SENT_BYTES
