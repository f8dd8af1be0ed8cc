"""briarrill.protocol.codec: messages to frames and back.

A message is two frames: the name of its class and its MessagePack body.
"""

import math
from collections.abc import Sequence

import attrs
import msgspec

from ..errors import (
    ERRORS_BY_CODE,
    BriarrillError,
    InternalError,
    MalformedMessageError,
)
from ..metrics import MALFORMED_MESSAGES
from .messages import Failure, Finish, Message

__all__ = (
    'decode',
    'decode_or_count',
    'encode',
    'error_from',
    'failure_from',
)

_TYPES_BY_NAME = {
    cls.__name__.encode(): cls for cls in Message.__subclasses__()
}
_DECODERS = {
    name: msgspec.msgpack.Decoder(cls) for name, cls in _TYPES_BY_NAME.items()
}
# numbers that must be finite, since they become times
_FLOATS_BY_TYPE = {
    cls: tuple(
        field.name
        for field in attrs.fields(cls)
        if field.type in {float, 'float'}
    )
    for cls in Message.__subclasses__()
}
_ENCODER = msgspec.msgpack.Encoder()

FRAMES_OF_MESSAGE = 2


def encode(message: Message) -> list[bytes]:
    """Return the frames of a message."""
    return [type(message).__name__.encode(), _ENCODER.encode(message)]


def decode(frames: Sequence[bytes]) -> Message:
    """Return the message of the frames.

    :raises MalformedMessageError: unknown type, wrong field or frame count.
    """
    if len(frames) != FRAMES_OF_MESSAGE:
        raise MalformedMessageError(f'{len(frames)} frames')
    decoder = _DECODERS.get(frames[0])
    if decoder is None:
        raise MalformedMessageError(f'unknown type {frames[0]!r}')
    try:
        decoded: Message = decoder.decode(frames[1])
    except msgspec.MsgspecError as exc:
        raise MalformedMessageError(str(exc)) from exc
    for name in _FLOATS_BY_TYPE[type(decoded)]:
        if not math.isfinite(getattr(decoded, name)):
            raise MalformedMessageError(f'{name} must be finite')
    return decoded


def decode_or_count(frames: Sequence[bytes]) -> Message | None:
    """Return the message of the frames; count and drop a malformed one."""
    try:
        return decode(frames)
    except MalformedMessageError:
        MALFORMED_MESSAGES.inc()
        return None


def failure_from(exc: BriarrillError) -> Failure:
    """Return the message that carries an error to the peer."""
    return Failure(
        code=exc.code,
        ran=exc.ran,
        message=exc.message,
        retry_after_s=exc.retry_after_s,
    )


def error_from(failure: Failure | Finish) -> BriarrillError:
    """Return the error that a peer reported."""
    cls = ERRORS_BY_CODE.get(failure.code, InternalError)
    return cls(
        failure.message,
        ran=failure.ran,
        retry_after_s=failure.retry_after_s,
    )
