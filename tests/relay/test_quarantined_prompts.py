"""Requests whose prompt is quarantined before an attempt of them."""

import pytest

from briarrill.errors import UpstreamLostError
from briarrill.protocol.load_reports import short_hash
from briarrill.protocol.prompt_news import PromptNews, UpstreamCrash
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
    STREAM,
    run_front_end,
)

PROMPT = 'first:5,bad:5,own:1'
NEWS = PromptNews(quarantined={short_hash('bad'): 600})


@pytest.mark.parametrize(
    'route', [STREAM, RESUMABLE_STREAM, IDEMPOTENT, NON_IDEMPOTENT]
)
async def test_first_attempt_is_refused_at_once_with_the_time_to_return(route):
    engine = StandinEngine(respond_with(encode_event(1)))
    async with run_front_end([route], engine) as setup:
        setup.ends.quarantine.apply_news(NEWS)
        status, headers, body = await setup.send_request(
            route.prefix, prompt_prefix=PROMPT
        )
        sound = await setup.send_request(
            route.prefix, prompt_prefix='first:5,other:5,own:1'
        )
    assert (status, body[:3]) == (503, b'306')
    assert float(headers[b'retry-after']) > 1
    assert sound[0] == 200
    assert len(engine.requests) == 1


def _quarantine_and_cut(setups, sent=b''):
    """Return a behaviour during which peers tell of the prompt."""

    async def respond(_req, conn):
        if sent:
            await conn.send_head(200, ())
            await conn.send_body(sent)
        setups[0].ends.quarantine.apply_news(NEWS)
        raise ConnectionResetError

    return respond


@pytest.mark.parametrize('route', [RESUMABLE_STREAM, IDEMPOTENT])
async def test_retry_is_not_sent_and_does_not_claim_that_nothing_ran(route):
    setups = []
    first = StandinEngine(_quarantine_and_cut(setups))
    second = StandinEngine(stream_events(3))
    async with run_front_end([route], first, second) as setup:
        setups.append(setup)
        status, _, _ = await setup.send_request(
            route.prefix, prompt_prefix=PROMPT
        )
    assert status == 502
    assert len(first.requests) == 1
    assert not second.requests


async def test_stream_is_not_resumed_with_a_quarantined_prompt():
    setups = []
    first = StandinEngine(_quarantine_and_cut(setups, encode_event(1)))
    second = StandinEngine(stream_events(3))
    async with run_front_end([RESUMABLE_STREAM], first, second) as setup:
        setups.append(setup)
        with pytest.raises(UpstreamLostError):
            await setup.send_request(
                RESUMABLE_STREAM.prefix, prompt_prefix=PROMPT
            )
    assert not second.requests


def _suspected(*parts):
    """Return the news of two crashes under parts, one of them in flight."""
    hashes = tuple(map(short_hash, parts))
    return PromptNews(
        crashes=tuple(
            UpstreamCrash(number, other_parts=hashes) for number in range(2)
        ),
        suspects=((short_hash('i-0'), hashes[-1]),),
    )


async def test_suspected_part_runs_once_at_a_time():
    engine = StandinEngine(stream_events(3))
    async with run_front_end([IDEMPOTENT], engine) as setup:
        setup.ends.quarantine.apply_news(_suspected('bad'))
        status, headers, body = await setup.send_request(
            IDEMPOTENT.prefix, prompt_prefix=PROMPT
        )
    assert (status, body[:3]) == (503, b'306')
    assert float(headers[b'retry-after']) < 1
    assert not engine.requests


async def test_suspected_part_avoids_the_upstream_of_another_one():
    first = StandinEngine(stream_events(3))
    second = StandinEngine(stream_events(3))
    async with run_front_end([IDEMPOTENT], first, second) as setup:
        setup.ends.quarantine.apply_news(_suspected('bad', 'elsewhere'))
        status, _, _ = await setup.send_request(
            IDEMPOTENT.prefix, prompt_prefix=PROMPT
        )
    assert status == 200
    assert (len(first.requests), len(second.requests)) == (0, 1)
