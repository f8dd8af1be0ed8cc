"""Tests of the front end: routing, rejections, disconnects and draining."""

from functools import partial

import attrs
import trio
from eliot import add_destinations, remove_destination

from briarrill.relay import drain
from briarrill.relay.drain import drain_front_end
from briarrill.transport.http_channel import connect
from briarrill.transport.http_messages import RequestHead
from standins.platform_engine import StandinEngine, respond_with, stream_events
from tests.relay.front_end_setup import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    ROUTE_HOST,
    STREAM,
    run_front_end,
)


async def test_unknown_route_is_not_found():
    engine = StandinEngine(respond_with(b'ok'))
    async with run_front_end([NON_IDEMPOTENT], engine) as setup:
        status, _, _ = await setup.send_request('/elsewhere/')
    assert status == 404
    assert engine.requests == []


async def test_unknown_route_is_no_refusal_for_good_while_routes_may_be_old():
    """A caller that is told "not found" does not come again."""
    engine = StandinEngine(respond_with(b'ok'))
    async with run_front_end([NON_IDEMPOTENT], engine) as setup:
        setup.front.is_behind = partial(bool, 1)
        status, headers, _ = await setup.send_request('/elsewhere/')
        assert status == 503
        assert float(headers[b'retry-after']) > 0
        status, _, _ = await setup.send_request(NON_IDEMPOTENT.prefix)
        assert status == 200
        setup.front.is_behind = bool
        status, _, _ = await setup.send_request('/elsewhere/')
    assert status == 404
    assert len(engine.requests) == 1


async def test_rejection_of_unknown_route_logs_the_request_id():
    lines = []
    add_destinations(lines.append)
    # the first destination also receives lines logged before it was added
    lines.clear()
    try:
        async with run_front_end([NON_IDEMPOTENT]) as setup:
            await setup.send_request('/elsewhere/', attempt_id='a-7')
    finally:
        remove_destination(lines.append)
    rejected = [
        line for line in lines if line['message_type'] == 'request:refused'
    ]
    assert [line['request_id'] for line in rejected] == ['a-7']


async def test_request_without_id_is_rejected_and_later_ones_served():
    engine = StandinEngine(respond_with(b'ok'))
    head = RequestHead(
        b'GET',
        b'/elsewhere/',
        ((b'host', ROUTE_HOST), (b'content-length', b'0')),
    )
    for path in (b'/elsewhere/', NON_IDEMPOTENT.prefix.encode()):
        async with run_front_end([NON_IDEMPOTENT], engine) as setup:
            channel = await connect(setup.address, 1)
            request_head = attrs.evolve(head, target=path)
            async with channel.exchange(request_head, b''):
                response_head = await channel.read_head()
                await channel.read_full_body(1000)
            channel.close()
            assert response_head.status in {400, 404}
            assert (await setup.send_request(NON_IDEMPOTENT.prefix))[0] == 200


async def test_missing_configuration_is_unavailable_with_retry_after():
    async with run_front_end([NON_IDEMPOTENT]) as setup:
        setup.front.routes = lambda: None
        status, headers, _ = await setup.send_request(NON_IDEMPOTENT.prefix)
    assert status == 503
    assert b'retry-after' in headers


async def test_request_without_upstream_is_unavailable():
    async with run_front_end([IDEMPOTENT]) as setup:
        status, _, _ = await setup.send_request(IDEMPOTENT.prefix)
    assert status == 503


async def test_drain_finishes_streams_then_rejects_requests(monkeypatch):
    monkeypatch.setattr(drain, 'BALANCER_NOTICE_S', 0.05)
    engine = StandinEngine(stream_events(30, pause_s=0.02))
    responses = {}

    async def send_request(name, setup):
        responses[name] = await setup.send_request(STREAM.prefix)

    async with (
        run_front_end([STREAM], engine) as setup,
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(send_request, 'before', setup)
        while not engine.requests:
            await trio.sleep(0.01)
        setup.front.readiness.begin_drain()
        nursery.start_soon(send_request, 'in notice', setup)
        nursery.start_soon(
            drain_front_end, setup.front, 8, setup.stop_accepting
        )
        await trio.sleep(0.2)
        await send_request('after', setup)
        while 'in notice' not in responses or 'before' not in responses:
            await trio.sleep(0.01)
    assert responses['before'][0] == responses['in notice'][0] == 200
    assert responses['in notice'][1][b'connection'] == b'close'
    assert responses['after'][0] == 503
    assert len(engine.requests) == 2


async def test_drain_closes_idle_connection_after_balancer_notice(monkeypatch):
    monkeypatch.setattr(drain, 'BALANCER_NOTICE_S', 0.2)
    async with run_front_end([NON_IDEMPOTENT]) as setup:
        stream_ = await trio.open_tcp_stream(*setup.address)
        await trio.sleep(0.05)
        setup.front.readiness.begin_drain()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                drain_front_end, setup.front, 8, setup.stop_accepting
            )
            with trio.move_on_after(0.1) as early:
                await stream_.receive_some()
            assert early.cancelled_caught
            assert await stream_.receive_some() == b''


async def test_disconnect_during_body_starts_no_run():
    engine = StandinEngine(respond_with(b'ok'))
    async with run_front_end([NON_IDEMPOTENT], engine) as setup:
        stream_ = await trio.open_tcp_stream(*setup.address)
        await stream_.send_all(
            b'POST /non_idempotent/ HTTP/1.1\r\nhost: h.example\r\n'
            b'briarrill-attempt-id: x\r\ncontent-length: 9\r\n\r\nhalf'
        )
        await stream_.aclose()
        while setup.front.active_requests:
            await trio.sleep(0.01)
    assert engine.requests == []
