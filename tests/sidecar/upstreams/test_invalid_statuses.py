"""Responses to a sidecar with an invalid status."""

import httpx
import pytest

from briarrill.sidecar.upstreams import (
    EngineUpstream,
    ServiceUpstream,
    UpstreamRequest,
)
from tests.raw_engine import RawEngine
from tests.serving import serve_standin


# guards against an invalid status that a caller gets as an answer
@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
@pytest.mark.parametrize('kind', [EngineUpstream, ServiceUpstream])
async def test_invalid_status_is_a_failure(kind, status):
    engine = RawEngine(
        b'HTTP/1.1 %b Status\r\ncontent-length: 4\r\n\r\nbody' % status
    )
    async with serve_standin(engine) as (host, port):
        url = f'http://{host}:{port}'
        async with httpx.AsyncClient(base_url=url, timeout=5) as client:
            with pytest.raises(httpx.RemoteProtocolError):
                async with kind(client).send(
                    UpstreamRequest('POST', '/', b'{}')
                ):
                    raise AssertionError('got a response')
    assert len(engine.requests) == 1
