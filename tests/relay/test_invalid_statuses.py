"""Responses with an invalid status, RFC 9110 section 15."""

import pytest

from briarrill.coordination.placement import UpstreamCandidate
from standins.platform_engine import (
    SEAL_HEADER,
    StandinEngine,
    respond_with,
    stream_events,
)
from tests.raw_engine import RawEngine
from tests.relay.front_end_setup import (
    IDEMPOTENT,
    NON_IDEMPOTENT,
    RESUMABLE_STREAM,
    STREAM,
    run_front_end,
)

every_status = pytest.mark.parametrize(
    'status', [b'000', b'020', b'099', b'600', b'700', b'999']
)


def _engine(status):
    """Return an upstream whose head and length are sound otherwise."""
    return RawEngine(
        b'HTTP/1.1 %b Status\r\nbriarrill-attempt-id: r1\r\n'
        b'%b: %b\r\ncontent-length: 4\r\n\r\nbody' % (status, *SEAL_HEADER)
    )


# guards against an invalid status that a caller gets as an answer
@every_status
@pytest.mark.parametrize('route', [STREAM, NON_IDEMPOTENT])
async def test_response_with_an_invalid_status_is_lost(route, status):
    engine = _engine(status)
    async with run_front_end([route], engine) as setup:
        relayed, headers, body = await setup.send_request(route.prefix)
    assert relayed == 502
    assert SEAL_HEADER[0] not in headers
    assert body != b'body'
    assert len(engine.requests) == 1


@every_status
@pytest.mark.parametrize(
    ('route', 'behaviour'),
    [(RESUMABLE_STREAM, stream_events(2)), (IDEMPOTENT, respond_with(b'ok'))],
)
async def test_request_goes_elsewhere_after_an_invalid_status(
    route, behaviour, status
):
    engine, second = _engine(status), StandinEngine(behaviour)
    async with run_front_end([route], engine, second) as setup:
        relayed, _, _ = await setup.send_request(route.prefix)
    assert relayed == 200
    assert len(engine.requests) == len(second.requests) == 1


@every_status
async def test_upstream_with_invalid_statuses_counts_as_failing(status):
    engine = _engine(status)
    sound = StandinEngine(respond_with(b'ok'))
    async with run_front_end([IDEMPOTENT], engine, sound) as setup:
        ejector = setup.front.forwarder._health.ejector_of('llm')
        both = [UpstreamCandidate(name, 20, 0, 0) for name in ('i-0', 'i-1')]
        while len(ejector.eligible(both)) == len(both):
            relayed, _, _ = await setup.send_request(IDEMPOTENT.prefix)
            assert relayed == 200
            assert len(engine.requests) < 20


@pytest.mark.parametrize('status', [b'100', b'599'])
async def test_first_and_last_valid_status(status):
    """An interim response is skipped, a server error is relayed."""
    engine = _engine(status)
    async with run_front_end([NON_IDEMPOTENT], engine) as setup:
        relayed, headers, _ = await setup.send_request(NON_IDEMPOTENT.prefix)
    if status == b'599':
        assert (relayed, headers[SEAL_HEADER[0]]) == (599, SEAL_HEADER[1])
    else:
        assert relayed == 502
