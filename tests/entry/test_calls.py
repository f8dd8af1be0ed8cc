"""Reading the chunks of one attempt."""

import pytest
import trio

from briarrill.entry.calls import OnlineCall
from briarrill.errors import UpstreamLostError
from briarrill.protocol.messages import Chunk, Finish
from briarrill.result_codes import Ran


@pytest.fixture
def call():
    return OnlineCall(('r', 0), lambda key, is_cancelled: None)


def _deliver_chunks(call, *bodies):
    for body in bodies:
        call.deliver(Chunk('r', 0, call.received_chunks, body))


async def test_buffered_chunks_are_read_as_one_chunk(call):
    """Guards against one write to the caller for each buffered chunk."""
    _deliver_chunks(call, b'a', b'b', b'c')
    assert await call.next_chunk() == b'abc'
    _deliver_chunks(call, b'd')
    call.deliver(Finish('r', 0, chunks=4))
    assert await call.next_chunk() == b'd'
    assert call.finish is None
    assert await call.next_chunk() is None
    assert call.finish.chunks == 4


async def test_single_chunk_is_read_without_waiting_for_another(call):
    _deliver_chunks(call, b'a')
    with trio.fail_after(5):
        assert await call.next_chunk() == b'a'


async def test_lost_call_yields_buffered_chunks_before_the_error(call):
    _deliver_chunks(call, b'a', b'b')
    call.mark_lost()
    assert await call.next_chunk() == b'ab'
    with pytest.raises(UpstreamLostError):
        await call.next_chunk()


async def test_finish_with_more_chunks_than_received_raises_upstream_lost(
    call,
):
    _deliver_chunks(call, b'a')
    call.deliver(Finish('r', 0, chunks=2))
    assert await call.next_chunk() == b'a'
    with pytest.raises(UpstreamLostError) as error:
        await call.next_chunk()
    assert error.value.ran is Ran.YES
