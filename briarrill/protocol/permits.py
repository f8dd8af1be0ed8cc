"""briarrill.protocol.permits: questions for a place under a request limit.

Permits share the UDP port of the load reports. Their first byte tells them
apart from reports and probes.
"""

import attrs
import msgspec

from ..decoding import msgpack_decoder
from ..errors import MalformedMessageError
from .numbers import AnyNumber, NonNegativeNumber

__all__ = (
    'PermitReply',
    'PermitRequest',
    'decode_permit',
    'encode_permit',
    'is_permit',
)

_MARK = b'\x01'


@attrs.frozen
class PermitRequest:
    """A question whether one more request may be sent to an upstream.

    :param number: number of the question at the process that asks.
    :param incarnation: of the upstream.
    :param rate_per_s: limit that the upstream named.
    :param max_wait_s: how long the request may wait for its turn.
    :param is_batch: whether it is a batch item.
    """

    number: int
    incarnation: str
    rate_per_s: NonNegativeNumber
    max_wait_s: AnyNumber
    is_batch: bool


@attrs.frozen
class PermitReply:
    """The answer to a question.

    :param is_granted: whether the request may be sent.
    :param delay_s: time after which it may be sent; if none is granted, time
        after which another question makes sense.
    """

    number: int
    is_granted: bool
    delay_s: NonNegativeNumber


_PermitMessage = PermitRequest | PermitReply

_CLASSES: tuple[type[_PermitMessage], ...] = (PermitRequest, PermitReply)
_CLASSES_BY_NUMBER: dict[object, type[_PermitMessage]] = dict(
    enumerate(_CLASSES)
)
_FIELDS_DECODER = msgpack_decoder(list[int | float | str | bool])


def is_permit(raw: bytes) -> bool:
    """Tell whether a datagram is a question for a permit or its answer."""
    return raw.startswith(_MARK)


def encode_permit(message: _PermitMessage) -> bytes:
    """Encode a message as an array of its class's number and field values."""
    fields = attrs.astuple(message)
    number = _CLASSES.index(type(message))
    return _MARK + msgspec.msgpack.encode((number, *fields))


def decode_permit(raw: bytes) -> _PermitMessage:
    """Decode a message from a datagram.

    :raises MalformedMessageError: the bytes are none.
    """
    try:
        number, *fields = _FIELDS_DECODER.decode(raw[len(_MARK) :])
        cls = _CLASSES_BY_NUMBER[number]
        names = [field.name for field in attrs.fields(cls)]
        return msgspec.convert(dict(zip(names, fields, strict=True)), cls)
    except (msgspec.MsgspecError, ValueError, KeyError) as exc:
        raise MalformedMessageError(f'permit: {exc!r}') from exc
