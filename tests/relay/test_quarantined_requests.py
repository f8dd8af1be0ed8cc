"""Requests that are held back since upstreams ended under them."""

import pytest
import trio

from briarrill.errors import UpstreamLostError
from briarrill.protocol.load_reports import short_hash
from briarrill.protocol.prompt_news import PromptNews, UpstreamCrash
from briarrill.protocol.request_keys import request_key
from standins.platform_engine import (
    StandinEngine,
    encode_event,
    respond_with,
    stream_events,
)
from tests.relay.front_end_setup import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    RESUMABLE_STREAM,
    ROUTE_HOST,
    STREAM,
    run_front_end,
)

BODY = b'bad'


def _key(route, body=BODY):
    caller = f'{ROUTE_HOST.decode()}\n'
    return request_key(caller, b'POST', route.prefix.encode(), body)


def _crashes(count, *keys):
    return PromptNews(
        crashes=tuple(
            UpstreamCrash(number, requests=keys) for number in range(count)
        )
    )


@pytest.mark.parametrize(
    'route', [STREAM, RESUMABLE_STREAM, IDEMPOTENT, NON_IDEMPOTENT]
)
@pytest.mark.parametrize('is_settled', [True, False])
async def test_first_attempt_is_refused_at_once_with_the_time_to_return(
    route, is_settled
):
    key = _key(route)
    news = (
        PromptNews(quarantined={key: 600}) if is_settled else _crashes(3, key)
    )
    engine = StandinEngine(respond_with(encode_event(1)))
    async with run_front_end([route], engine) as setup:
        setup.ends.quarantine.apply_news(news)
        status, headers, body = await setup.send_request(route.prefix, BODY)
        sound = await setup.send_request(route.prefix, b'sound')
    assert (status, body[:3]) == (503, b'307')
    assert float(headers[b'retry-after']) > 1
    assert sound[0] == 200
    assert len(engine.requests) == 1


def _crash_and_cut(setups, route, sent=b''):
    """Return a behaviour during which peers tell of three crashes."""

    async def respond(_req, conn):
        if sent:
            await conn.send_head(200, ())
            await conn.send_body(sent)
        setups[0].ends.quarantine.apply_news(_crashes(3, _key(route)))
        raise ConnectionResetError

    return respond


@pytest.mark.parametrize('route', [RESUMABLE_STREAM, IDEMPOTENT])
async def test_retry_is_not_sent_and_does_not_claim_that_nothing_ran(route):
    setups = []
    first = StandinEngine(_crash_and_cut(setups, route))
    second = StandinEngine(stream_events(3))
    async with run_front_end([route], first, second) as setup:
        setups.append(setup)
        status, _, _ = await setup.send_request(route.prefix, BODY)
    assert status == 502
    assert len(first.requests) == 1
    assert not second.requests


async def test_stream_is_not_resumed_while_its_request_is_held_back():
    setups = []
    route = RESUMABLE_STREAM
    first = StandinEngine(_crash_and_cut(setups, route, encode_event(1)))
    second = StandinEngine(stream_events(3))
    async with run_front_end([route], first, second) as setup:
        setups.append(setup)
        with pytest.raises(UpstreamLostError):
            await setup.send_request(route.prefix, BODY)
    assert not second.requests


async def test_callers_resumption_is_held_back_as_well():
    engine = StandinEngine(stream_events(3))
    route = RESUMABLE_STREAM
    async with run_front_end([route], engine) as setup:
        setup.ends.quarantine.apply_news(_crashes(3, _key(route)))
        status, _, _ = await setup.send_request(
            route.prefix, BODY, last_event_id='1'
        )
    assert status == 503
    assert not engine.requests


async def test_suspected_request_avoids_the_upstream_of_another_one():
    first = StandinEngine(stream_events(3))
    second = StandinEngine(stream_events(3))
    key, other = _key(IDEMPOTENT), _key(IDEMPOTENT, b'other')
    async with run_front_end([IDEMPOTENT], first, second) as setup:
        quarantine = setup.ends.quarantine
        quarantine.apply_news(_crashes(2, key, other))
        quarantine.apply_news(
            PromptNews(suspects=((short_hash('i-0'), other),))
        )
        status, _, _ = await setup.send_request(IDEMPOTENT.prefix, BODY)
        assert status == 200
        assert (len(first.requests), len(second.requests)) == (0, 1)
        # its answer ends the suspicion
        while quarantine.requests.is_suspect(key):
            await trio.sleep(0.01)


async def test_suspected_request_runs_once_at_a_time():
    engine = StandinEngine(stream_events(3))
    key = _key(IDEMPOTENT)
    async with run_front_end([IDEMPOTENT], engine) as setup:
        quarantine = setup.ends.quarantine
        quarantine.apply_news(_crashes(2, key))
        quarantine.apply_news(
            PromptNews(suspects=((short_hash('elsewhere'), key),))
        )
        status, headers, _ = await setup.send_request(IDEMPOTENT.prefix, BODY)
    assert status == 503
    assert float(headers[b'retry-after']) < 1
    assert not engine.requests
