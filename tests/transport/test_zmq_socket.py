"""ZeroMQ sockets under trio."""

import pytest
import trio

from briarrill.errors import PeerUnreachableError
from briarrill.transport.zmq_socket import open_dealer, open_router

PORT = 7190
MESSAGE_COUNT = 500


async def _send_when_connected(dealer, frames):
    while True:
        try:
            return dealer.send(frames)
        except PeerUnreachableError:
            await trio.sleep(0.01)


async def test_receiver_gets_all_messages_during_sends(network):
    """A send may consume the descriptor edge that a receiver waits for."""
    host = f'{network}.1'
    received = []

    async def echo(router):
        while True:
            router.send(await router.receive())

    async def receive(dealer):
        while len(received) < MESSAGE_COUNT:
            received.append(await dealer.receive())

    with open_router(host, PORT) as router, open_dealer(host, PORT) as dealer:
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(echo, router)
                async with trio.open_nursery() as receiving:
                    receiving.start_soon(receive, dealer)
                    for number in range(MESSAGE_COUNT):
                        await _send_when_connected(
                            dealer, [str(number).encode()]
                        )
                        await trio.lowlevel.checkpoint()
                nursery.cancel_scope.cancel()
    assert [int(frames[0]) for frames in received] == list(
        range(MESSAGE_COUNT)
    )


async def test_send_without_connected_peer_raises_peer_unreachable(network):
    with (
        open_dealer(f'{network}.1', PORT) as dealer,
        pytest.raises(PeerUnreachableError),
    ):
        dealer.send([b'lost'])


async def test_restarted_peer_gets_no_message_sent_before(network):
    host = f'{network}.1'
    with open_dealer(host, PORT) as dealer:
        with open_router(host, PORT) as first:
            await _send_when_connected(dealer, [b'one'])
            assert (await first.receive())[1] == b'one'
        with trio.fail_after(10):
            while True:
                try:
                    dealer.send([b'while down'])
                except PeerUnreachableError:
                    break
                await trio.sleep(0.01)
        with open_router(host, PORT) as second, trio.fail_after(10):
            await _send_when_connected(dealer, [b'two'])
            assert (await second.receive())[1] == b'two'


async def test_receiving_a_backlog_lets_other_tasks_run(network):
    schedulings = 0

    async def count_schedulings():
        nonlocal schedulings  # noqa: WPS420
        while True:
            await trio.lowlevel.checkpoint()
            schedulings += 1

    host = f'{network}.1'
    with open_router(host, PORT) as router, open_dealer(host, PORT) as dealer:
        with trio.fail_after(10):
            await _send_when_connected(dealer, [b'x'])
            for _ in range(MESSAGE_COUNT):
                dealer.send([b'x'])
            await trio.sleep(0.2)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(count_schedulings)
                for _ in range(MESSAGE_COUNT):
                    await router.receive()
                nursery.cancel_scope.cancel()
    assert schedulings >= MESSAGE_COUNT / 20
