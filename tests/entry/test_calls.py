"""Reading the chunks of one attempt."""

import pytest
import trio

from briarrill.entry.calls import OnlineCall
from briarrill.errors import UpstreamLostError
from briarrill.protocol.messages import Chunk, Finish
from briarrill.result_codes import Ran, ResultCode


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


@pytest.mark.parametrize('sent_chunks', [0, 1, 2])
@pytest.mark.parametrize('received_chunks', [0, 1, 2])
async def test_refusal_of_a_call_with_chunks_does_not_say_that_none_ran(
    call, sent_chunks, received_chunks
):
    """Guards against a call that is sent again though it runs."""
    _deliver_chunks(call, *[b'a'] * received_chunks)
    call.deliver(
        Finish(
            'r',
            0,
            chunks=sent_chunks,
            code=ResultCode.OVERLOADED,
            ran=Ran.NO,
        )
    )
    if received_chunks:
        await call.next_chunk()
    if sent_chunks != received_chunks:
        with pytest.raises(UpstreamLostError) as error:
            await call.next_chunk()
        assert error.value.ran is Ran.YES
        return
    await call.next_chunk()
    assert call.finish.ran is (Ran.YES if received_chunks else Ran.NO)


async def test_first_finish_of_a_call_counts(call):
    _deliver_chunks(call, b'a')
    call.deliver(Finish('r', 0, chunks=1))
    call.deliver(
        Finish('r', 0, chunks=1, code=ResultCode.OVERLOADED, ran=Ran.NO)
    )
    assert await call.next_chunk() == b'a'
    assert await call.next_chunk() is None
    assert (call.finish.code, call.finish.ran) == (ResultCode.OK, Ran.YES)
