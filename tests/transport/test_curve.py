"""Encryption between processes."""

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
STRANGER = make_curve_keys()


async def _deliver(network, server_keys, client_keys):
    """Return what a server received from a client, if anything."""
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


async def test_processes_with_the_fleets_keys_talk(network):
    assert await _deliver(network, FLEET, FLEET) == b'hello'


@pytest.mark.parametrize(
    ('server_keys', 'client_keys'),
    [(FLEET, None), (None, FLEET), (FLEET, STRANGER), (STRANGER, FLEET)],
)
async def test_process_without_the_fleets_keys_is_kept_out(
    network, server_keys, client_keys
):
    assert await _deliver(network, server_keys, client_keys) is None


@pytest.mark.parametrize(
    'keys',
    [
        CurveKeys(FLEET.public_key, 'short'),
        CurveKeys(STRANGER.public_key, FLEET.secret_key),
    ],
)
def test_keys_that_are_no_pair_are_refused(keys):
    with pytest.raises(SettingsError, match='curve'):
        contextlib.ExitStack().enter_context(use_curve_keys(keys))


def test_secret_key_is_not_shown():
    assert FLEET.secret_key not in repr(FLEET)
