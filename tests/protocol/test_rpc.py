"""Tests of what a call without a reply says about its execution."""

import math

import pytest
import trio
from trio.testing import wait_all_tasks_blocked

from briarrill.errors import (
    BriarrillError,
    OverloadedError,
    PeerUnreachableError,
)
from briarrill.protocol.codec import encode
from briarrill.protocol.messages import Failure, StatusRequest
from briarrill.protocol.rpc import RpcClient
from briarrill.result_codes import Ran, ResultCode


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


class _Peer:
    """A peer that replies only as told."""

    def __init__(self):
        self.requests = []
        self._sender, self._receiver = trio.open_memory_channel(math.inf)

    def send(self, frames):
        self.requests.append(frames[0])

    async def receive(self):
        return await self._receiver.receive()

    def reply(self, number, message):
        """Reply to the request with this number, counted from 0."""
        self._sender.send_nowait([self.requests[number], *encode(message)])


async def _call(client, results, number):
    try:
        results[number] = await client.call(StatusRequest(), 5)
    except BriarrillError as exc:
        results[number] = exc


async def test_replies_late_twice_or_in_another_order_end_their_own_calls(
    autojump_clock,
):
    """Guards against a refusal that is read as the reply to another call."""
    peer = _Peer()
    client = RpcClient(peer)
    results = {}
    refusal = Failure(ResultCode.OVERLOADED, Ran.NO, 'full')
    async with trio.open_nursery() as nursery:
        nursery.start_soon(client.run)
        with pytest.raises(PeerUnreachableError):
            await client.call(StatusRequest(), 1)
        async with trio.open_nursery() as calls:
            for number in (1, 2, 3):
                calls.start_soon(_call, client, results, number)
                await wait_all_tasks_blocked()
            # late, in another order, and twice
            peer.reply(0, refusal)
            peer.reply(3, StatusRequest())
            for _ in range(2):
                peer.reply(1, refusal)
            peer.reply(0, refusal)
            peer.reply(2, StatusRequest())
        nursery.cancel_scope.cancel()
    assert isinstance(results[1], OverloadedError)
    assert [results[2], results[3]] == [StatusRequest()] * 2
