"""Each ZeroMQ socket drops and counts malformed messages."""

import contextlib
import random

import attrs
import msgspec
import pytest
import trio

from briarrill.batch.item_dispatcher import ItemDispatcher
from briarrill.batch.item_sources import ItemSources
from briarrill.coordination.admission import Admission
from briarrill.coordination.upstream_ends import observe_prompt_news
from briarrill.entry.links import UpstreamLink
from briarrill.errors import PeerUnreachableError
from briarrill.metrics import MALFORMED_MESSAGES
from briarrill.protocol.codec import decode, encode
from briarrill.protocol.messages import (
    Assign,
    Chunk,
    Heartbeat,
    Hello,
    LoadReport,
    Ok,
    Pull,
    StatusRequest,
    Submit,
    Welcome,
)
from briarrill.protocol.rpc import RpcClient, serve_rpc
from briarrill.readiness import Readiness
from briarrill.sidecar.batch import BatchPuller
from briarrill.sidecar.online import OnlineServer, SidecarIdentity
from briarrill.sidecar.unfinished_items import UnfinishedItems
from briarrill.state.contracts import Contract
from briarrill.state.settings import InstanceSettings
from briarrill.tracing import continue_trace
from briarrill.transport.instance_list import Instance, Role
from briarrill.transport.zmq_socket import open_dealer, open_router
from tests.sidecar.sidecar_setup import ScriptedUpstream, make_batch_runner

PORT = 7191
SEED = 5
ENTRY_INSTANCE = InstanceSettings('own', '127.0.0.1', 'a', 'r')
PULL = Pull(session='s', process='p', wanted=1, models=('drafter',))

WELCOME = Welcome(session='s', process='p', clock_s=1.0, load=LoadReport())

SUBMIT = Submit(
    session='s',
    request_id='r',
    attempt=0,
    contract='c',
    method='POST',
    path='/',
    body=b'',
    idempotent=True,
    peer_clock_s=0.0,
    peer_clock_age_s=0.0,
    time_left_s=5.0,
)


def _malformed_messages():
    """Return lists of frames that are not a valid message on any socket."""
    rng = random.Random(SEED)
    fixed_cases = [
        [b''],
        [b'', b''],
        [b'Submit'],
        [b'Submit', b''],
        [b'Submit', b'\xc1'],
        [b'Submit', msgspec.msgpack.encode({})],
        [b'Submit', encode(SUBMIT)[1][:-1]],
        [*encode(SUBMIT), b'more'],
        [b'Message', b'\x80'],
        [b'x' * 100_000, b'y' * 100_000],
        encode(attrs.evolve(SUBMIT, time_left_s=float('nan'))),
        encode(attrs.evolve(SUBMIT, peer_clock_s=float('inf'))),
        encode(attrs.evolve(WELCOME, clock_s=float('nan'))),
    ]
    names = [b'Submit', b'Pull', b'Welcome', b'Chunk', b'ItemOutcome']
    return fixed_cases + [
        [rng.choice(names), rng.randbytes(40)] for _ in range(200)
    ]


def _malformed_count():
    return MALFORMED_MESSAGES._value.get()


@pytest.fixture
def address(network):
    return f'{network}.1', PORT


async def _send(socket, frames):
    with trio.fail_after(10):
        while True:
            try:
                return socket.send(frames)
            except PeerUnreachableError:
                await trio.sleep(0.01)


async def _receive(socket, cls, skip=0):
    """Return the next message of a class.

    :param skip: number of frames before the message.
    """
    with trio.fail_after(10):
        while True:
            frames = await socket.receive()
            with contextlib.suppress(Exception):
                message = decode(frames[skip:])
                if isinstance(message, cls):
                    return message


async def _send_malformed(socket, *envelope):
    """Send all malformed messages; return the counter's value before."""
    count_before = _malformed_count()
    for frames in _malformed_messages():
        await _send(socket, [*envelope, *frames])
    return count_before


async def _wait_counted(count_before):
    """Wait until each malformed message was counted."""
    with trio.fail_after(10):
        while _malformed_count() < count_before + len(_malformed_messages()):
            await trio.sleep(0.01)


def test_invalid_trace_starts_a_new_trace():
    with continue_trace('no trace', 'sidecar:request') as action:
        assert action.task_uuid


async def test_sidecar_online_socket_welcomes_peer_after_malformed_messages(
    address,
):
    with open_router(*address) as router, open_dealer(*address) as peer:
        server = OnlineServer(
            router,
            SidecarIdentity('p'),
            ScriptedUpstream(),
            Admission(2, 2),
            Readiness(),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(server.run)
            count_before = await _send_malformed(peer)
            await _wait_counted(count_before)
            hello = Hello(process='e', failure_domain='a')
            await _send(peer, encode(hello))
            assert await _receive(peer, Welcome)
            nursery.cancel_scope.cancel()


async def test_batch_process_socket_accepts_pull_after_malformed_messages(
    address,
):
    with open_router(*address) as router, open_dealer(*address) as peer:
        dispatcher = ItemDispatcher(
            router,
            ItemSources(lambda _name: Contract(())),
            observe_prompt_news(),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(dispatcher.run)
            count_before = await _send_malformed(peer)
            await _wait_counted(count_before)
            await _send(peer, encode(PULL))
            with trio.fail_after(10):
                while not dispatcher._pullers:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()


async def test_sidecar_batch_socket_pulls_after_malformed_messages(address):
    with open_router(*address) as router:
        puller = BatchPuller(
            SidecarIdentity('p'),
            make_batch_runner(ScriptedUpstream(), Admission(2, 2)),
            Readiness(),
            'owner',
            UnfinishedItems(),
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(puller.run, *address)
            peer = (await router.receive())[0]
            count_before = await _send_malformed(router, peer)
            await _send(router, [peer, *encode(Assign(batch_items=()))])
            await _wait_counted(count_before)
            assert await _receive(router, Pull, skip=1)
            nursery.cancel_scope.cancel()


async def test_entry_link_becomes_usable_after_malformed_messages(address):
    with open_router(*address) as router:
        instance = Instance('u', address[0], 'a', 'r', (Role.UPSTREAM,))
        link = UpstreamLink(
            instance, PORT, ENTRY_INSTANCE, observe_prompt_news().receive_news
        )
        async with trio.open_nursery() as nursery:
            nursery.start_soon(link.run)
            peer = (await router.receive())[0]
            count_before = await _send_malformed(router, peer)
            await _wait_counted(count_before)
            unexpected = Chunk(request_id='r', attempt=0, seq=-1, body=b'')
            heartbeat = Heartbeat(session='s', clock_s=2.0, load=LoadReport())
            for message in (WELCOME, unexpected, heartbeat):
                await _send(router, [peer, *encode(message)])
            with trio.fail_after(10):
                while not link.is_usable:
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()


async def test_rpc_server_replies_after_malformed_messages(address):
    async def reply_ok(_request):
        return Ok()

    with open_dealer(*address) as peer:
        async with trio.open_nursery() as nursery:
            handlers = {StatusRequest: reply_ok}
            await nursery.start(serve_rpc, *address, handlers)
            count_before = await _send_malformed(peer, b'1')
            await _wait_counted(count_before)
            await _send(peer, [b'2', *encode(StatusRequest())])
            assert await _receive(peer, Ok, skip=1)
            nursery.cancel_scope.cancel()


async def test_rpc_client_drops_malformed_replies(address):
    with open_router(*address) as router, open_dealer(*address) as dealer:
        client = RpcClient(dealer)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.run)
            for number, malformed in enumerate(
                _malformed_messages()[:5], start=1
            ):
                nursery.start_soon(_call_without_reply, client)
                peer = (await router.receive())[0]
                count_before = _malformed_count()
                await _send(router, [peer, str(number).encode(), *malformed])
                with trio.fail_after(10):
                    while _malformed_count() == count_before:
                        await trio.sleep(0.01)
            nursery.start_soon(_call_ok, client, nursery.cancel_scope)
            peer, call_id, *_ = await router.receive()
            await _send(router, [peer, call_id, *encode(Ok())])


async def _call_ok(client, scope):
    assert await client.call(StatusRequest(), 10) == Ok()
    scope.cancel()


async def _call_without_reply(client):
    with pytest.raises(PeerUnreachableError):
        await client.call(StatusRequest(), 0.2)
