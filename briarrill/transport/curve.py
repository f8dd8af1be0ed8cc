"""briarrill.transport.curve: encryption between the processes of a fleet.

All processes of a fleet have the same key pair. A process without it can
neither connect nor be connected to.
"""

import contextlib
import contextvars
from collections.abc import Iterator

import attrs
import zmq

from ..errors import SettingsError

__all__ = ('CurveKeys', 'make_curve_keys', 'secure_socket', 'use_curve_keys')

# characters of a key in the Z85 form
KEY_LENGTH = 40


@attrs.frozen
class CurveKeys:
    """The fleet's key pair, in the Z85 form."""

    public_key: str
    secret_key: str = attrs.field(repr=False)


_current: contextvars.ContextVar[CurveKeys | None] = contextvars.ContextVar(
    'curve_keys', default=None
)


def make_curve_keys() -> CurveKeys:
    """Return a new key pair."""
    public_key, secret_key = zmq.curve_keypair()
    return CurveKeys(public_key.decode(), secret_key.decode())


@contextlib.contextmanager
def use_curve_keys(keys: CurveKeys | None) -> Iterator[None]:
    """Encrypt sockets that are opened inside, or none without keys.

    :raises SettingsError: the keys are no pair.
    """
    if keys is not None:
        _check(keys)
    token = _current.set(keys)
    try:
        yield
    finally:
        _current.reset(token)


def secure_socket(zsock: zmq.Socket[bytes], *, is_server: bool) -> None:
    """Set the keys in use on a socket before it connects or binds."""
    keys = _current.get()
    if keys is None:
        return
    zsock.curve_secretkey = keys.secret_key.encode()
    zsock.curve_publickey = keys.public_key.encode()
    if is_server:
        zsock.curve_server = True
    else:
        zsock.curve_serverkey = keys.public_key.encode()


def _check(keys: CurveKeys) -> None:
    try:
        public_key = zmq.curve_public(keys.secret_key.encode())
    except (ValueError, zmq.ZMQError) as exc:
        raise SettingsError(
            f'curve.secret_key: must be {KEY_LENGTH} characters in Z85'
        ) from exc
    if public_key.decode() != keys.public_key:
        raise SettingsError(
            'curve.public_key: does not belong to curve.secret_key'
        )
