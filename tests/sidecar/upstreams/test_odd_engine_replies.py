"""Replies of an engine that cannot be read."""

import httpx
import pytest

from briarrill.sidecar.upstreams.engine import EngineUpstream
from tests.odd_bodies import UNREADABLE_JSON


async def _fetch_models(body):
    transport = httpx.MockTransport(
        lambda _req: httpx.Response(200, content=body)
    )
    async with httpx.AsyncClient(
        transport=transport, base_url='http://engine'
    ) as client:
        return await EngineUpstream(client).fetch_models()


@pytest.mark.parametrize(
    'body',
    [
        *UNREADABLE_JSON,
        b'{}',
        b'{"data":null}',
        b'{"data":[{}]}',
        b'{"data":[{"id":7}]}',
        b'{"data":["m"]}',
    ],
)
async def test_unreadable_list_of_models_counts_as_a_failure(body):
    with pytest.raises(httpx.HTTPError):
        await _fetch_models(body)


async def test_models_are_read():
    body = b'{"object":"list","data":[{"id":"a","owned_by":7},{"id":"b"}]}'
    assert await _fetch_models(body) == ('a', 'b')
