"""briarrill.transport.curve: CurveZMQ encryption between processes.

All processes of a fleet share one key pair. A process without it can neither
connect nor accept connections.
"""

import contextlib
import contextvars
from collections.abc import Iterator

import attrs
import zmq

from ..errors import SettingsError

__all__ = ('CurveKeys', 'make_curve_keys', 'secure_socket', 'use_curve_keys')

# characters of a key in Z85 encoding
Z85_KEY_LENGTH = 40


@attrs.frozen
class CurveKeys:
    """The key pair of a fleet, in Z85 encoding."""

    public_key: str
    secret_key: str = attrs.field(repr=False)


_current_keys: contextvars.ContextVar[CurveKeys | None] = (
    contextvars.ContextVar('curve_keys', default=None)
)


def make_curve_keys() -> CurveKeys:
    """Generate a key pair."""
    public_key, secret_key = zmq.curve_keypair()
    return CurveKeys(public_key.decode(), secret_key.decode())


@contextlib.contextmanager
def use_curve_keys(keys: CurveKeys | None) -> Iterator[None]:
    """Encrypt all sockets that are opened inside the context.

    :param keys: key pair, None to open sockets without encryption.
    :raises SettingsError: the secret key is not valid Z85, or the public key
        does not belong to it.
    """
    if keys is not None:
        _check_key_pair(keys)
    token = _current_keys.set(keys)
    try:
        yield
    finally:
        _current_keys.reset(token)


def secure_socket(zsock: zmq.Socket[bytes], *, is_server: bool) -> None:
    """Set the context's keys on a socket before it connects or binds."""
    keys = _current_keys.get()
    if keys is None:
        return
    zsock.curve_secretkey = keys.secret_key.encode()
    zsock.curve_publickey = keys.public_key.encode()
    if is_server:
        zsock.curve_server = True
    else:
        zsock.curve_serverkey = keys.public_key.encode()


def _check_key_pair(keys: CurveKeys) -> None:
    """Check that the public key belongs to the secret key.

    :raises SettingsError: it does not, or the secret key is not valid.
    """
    try:
        public_key = zmq.curve_public(keys.secret_key.encode())
    except (ValueError, zmq.ZMQError) as exc:
        raise SettingsError(
            f'curve.secret_key: must be {Z85_KEY_LENGTH} characters in Z85'
            ' encoding'
        ) from exc
    if public_key.decode() != keys.public_key:
        raise SettingsError(
            'curve.public_key: does not belong to curve.secret_key'
        )
