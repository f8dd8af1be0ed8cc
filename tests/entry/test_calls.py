"""Chunks of one attempt, as its caller reads them."""

import pytest
import trio

from briarrill.entry.calls import OnlineCall
from briarrill.errors import UpstreamLostError
from briarrill.protocol.messages import Chunk, Finish


@pytest.fixture
def call():
    return OnlineCall(('r', 0), lambda key, is_cancelled: None)


def _deliver(call, *bodies):
    for body in bodies:
        call.deliver(Chunk('r', 0, call.received, body))


async def test_chunks_that_wait_are_read_as_one(call):
    """Before, each waiting chunk was sent to the caller by itself."""
    _deliver(call, b'a', b'b', b'c')
    assert await call.next_chunk() == b'abc'
    _deliver(call, b'd')
    call.deliver(Finish('r', 0, chunks=4))
    assert await call.next_chunk() == b'd'
    assert call.finish is None
    assert await call.next_chunk() is None
    assert call.finish.chunks == 4


async def test_chunk_is_not_held_back_for_the_next(call):
    _deliver(call, b'a')
    with trio.fail_after(5):
        assert await call.next_chunk() == b'a'


async def test_chunks_before_a_loss_are_read_first(call):
    _deliver(call, b'a', b'b')
    call.lose()
    assert await call.next_chunk() == b'ab'
    with pytest.raises(UpstreamLostError):
        await call.next_chunk()


async def test_end_that_tells_more_chunks_than_came_is_a_loss(call):
    _deliver(call, b'a')
    call.deliver(Finish('r', 0, chunks=2))
    assert await call.next_chunk() == b'a'
    with pytest.raises(UpstreamLostError):
        await call.next_chunk()
