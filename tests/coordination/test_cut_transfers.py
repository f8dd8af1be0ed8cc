"""Replies of peers cut at every byte, in every framing."""

import pytest

from briarrill.coordination.state_transfer import request_from_peer
from briarrill.errors import UpstreamLostError
from briarrill.transport.http_messages import BodyFraming
from tests.raw_engine import cut_at_every_byte, every_end
from tests.serving import serve_standin

REPLY = (b'first part ', b'second part')


@every_end
async def test_cut_reply_of_a_peer_raises_upstream_lost(
    network, framing, reset
):
    address = (f'{network}.1', 8080)
    for cut in cut_at_every_byte(REPLY, framing, reset):
        async with serve_standin(cut.engine(), address):
            if cut.is_complete and framing is not BodyFraming.CLOSE:
                reply = await request_from_peer(address, '/state/')
                assert reply == b''.join(REPLY), cut
                continue
            with pytest.raises(UpstreamLostError):
                await request_from_peer(address, '/state/')
