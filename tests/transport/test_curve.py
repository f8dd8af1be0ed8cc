"""CurveZMQ encryption between processes."""

import contextlib

import pytest
import trio

from briarrill.errors import PeerUnreachableError, SettingsError
from briarrill.transport.curve import (
    CurveKeys,
    make_curve_keys,
    use_curve_keys,
)
from briarrill.transport.zmq_socket import open_dealer, open_router

PORT = 7190
FLEET = make_curve_keys()
OTHER_FLEET = make_curve_keys()


async def _send_to_router(network, server_keys, client_keys):
    """Return the message that a router received, or nothing after 2 s."""
    host = f'{network}.1'
    with contextlib.ExitStack() as stack:
        with use_curve_keys(server_keys):
            router = stack.enter_context(open_router(host, PORT))
        with use_curve_keys(client_keys):
            dealer = stack.enter_context(open_dealer(host, PORT))
        with trio.move_on_after(2):
            while True:
                with contextlib.suppress(PeerUnreachableError):
                    dealer.send([b'hello'])
                    break
                await trio.sleep(0.01)
            return (await router.receive())[1]
    return None


async def test_processes_with_same_keys_exchange_messages(network):
    assert await _send_to_router(network, FLEET, FLEET) == b'hello'


@pytest.mark.parametrize(
    ('server_keys', 'client_keys'),
    [(FLEET, None), (None, FLEET), (FLEET, OTHER_FLEET), (OTHER_FLEET, FLEET)],
)
async def test_router_receives_nothing_from_peer_without_its_keys(
    network, server_keys, client_keys
):
    assert await _send_to_router(network, server_keys, client_keys) is None


@pytest.mark.parametrize(
    'keys',
    [
        CurveKeys(FLEET.public_key, 'short'),
        CurveKeys(OTHER_FLEET.public_key, FLEET.secret_key),
    ],
)
def test_invalid_key_pair_raises_settings_error(keys):
    with pytest.raises(SettingsError, match='curve'):
        contextlib.ExitStack().enter_context(use_curve_keys(keys))


def test_key_pair_repr_omits_secret_key():
    assert FLEET.secret_key not in repr(FLEET)
