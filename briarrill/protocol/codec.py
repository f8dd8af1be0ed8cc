"""briarrill.protocol.codec: encodes messages to frames and decodes them.

A message has two frames: the name of its class and its MessagePack body.
"""

import math
from collections.abc import Sequence

import attrs
import msgspec

from ..decoding import msgpack_decoder
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
    'decode_or_none',
    'encode',
    'error_from_failure',
    'failure_from_error',
)

_TYPES_BY_NAME = {
    cls.__name__.encode(): cls for cls in Message.__subclasses__()
}
_DECODERS = {
    name: msgpack_decoder(cls) for name, cls in _TYPES_BY_NAME.items()
}
# fields that must be finite, since times are computed from them
_FLOAT_FIELDS_BY_TYPE = {
    cls: tuple(
        field.name
        for field in attrs.fields(cls)
        if field.type in {float, 'float'}
    )
    for cls in Message.__subclasses__()
}
_ENCODER = msgspec.msgpack.Encoder()

FRAMES_PER_MESSAGE = 2


def encode(message: Message) -> list[bytes]:
    """Return the two frames of a message."""
    return [type(message).__name__.encode(), _ENCODER.encode(message)]


def decode(frames: Sequence[bytes]) -> Message:
    """Decode a message from its frames.

    :raises MalformedMessageError: the frame count, the class name or a field
        is wrong.
    """
    if len(frames) != FRAMES_PER_MESSAGE:
        raise MalformedMessageError(
            f'{len(frames)} frames instead of {FRAMES_PER_MESSAGE}'
        )
    decoder = _DECODERS.get(frames[0])
    if decoder is None:
        raise MalformedMessageError(f'unknown message type {frames[0]!r}')
    decoded: Message = decoder.decode(frames[1])
    for name in _FLOAT_FIELDS_BY_TYPE[type(decoded)]:
        if not math.isfinite(getattr(decoded, name)):
            raise MalformedMessageError(f'{name} must be finite')
    return decoded


def decode_or_none(frames: Sequence[bytes]) -> Message | None:
    """Decode a message; count a malformed one and return None for it."""
    try:
        return decode(frames)
    except MalformedMessageError:
        MALFORMED_MESSAGES.inc()
        return None


def failure_from_error(exc: BriarrillError) -> Failure:
    """Convert an error to the Failure message for the peer."""
    return Failure(
        code=exc.code,
        ran=exc.ran,
        message=exc.message,
        retry_after_s=exc.retry_after_s,
    )


def error_from_failure(failure: Failure | Finish) -> BriarrillError:
    """Convert a peer's failure to an error; an unknown code is internal."""
    cls = ERRORS_BY_CODE.get(failure.code, InternalError)
    return cls(
        failure.message,
        ran=failure.ran,
        retry_after_s=failure.retry_after_s,
    )
