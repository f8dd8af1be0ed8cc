"""Tests of what a call without a reply says about its execution."""

import pytest

from briarrill.errors import PeerUnreachableError
from briarrill.protocol.messages import StatusRequest
from briarrill.protocol.rpc import RpcClient
from briarrill.result_codes import Ran


class _Socket:
    """A socket that accepts or refuses every message and gets no reply."""

    def __init__(self, *, accepts):
        self.accepts = accepts

    def send(self, frames):
        if not self.accepts:
            raise PeerUnreachableError('not connected')


@pytest.mark.parametrize(
    ('accepts', 'ran'), [(True, Ran.UNKNOWN), (False, Ran.NO)]
)
async def test_timeout_tells_whether_the_request_was_sent(
    autojump_clock, accepts, ran
):
    client = RpcClient(_Socket(accepts=accepts))
    with pytest.raises(PeerUnreachableError) as error:
        await client.call(StatusRequest(), 0.5)
    assert error.value.ran is ran
