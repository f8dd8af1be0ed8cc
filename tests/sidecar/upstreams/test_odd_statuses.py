"""Responses to a sidecar whose status is none of HTTP's."""

import httpx
import pytest

from briarrill.sidecar.upstreams import (
    EngineUpstream,
    ServiceUpstream,
    UpstreamRequest,
)
from tests.raw_engine import RawEngine
from tests.serving import serve_standin


# guards against a caller that gets a status that is none, as an answer
@pytest.mark.parametrize('status', [b'000', b'099', b'600', b'999'])
@pytest.mark.parametrize('kind', [EngineUpstream, ServiceUpstream])
async def test_status_that_is_none_is_a_failure(kind, status):
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
