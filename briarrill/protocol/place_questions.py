"""briarrill.protocol.place_questions: datagrams about places at upstreams.

They share the UDP port of the load reports. Their first byte tells them apart
from reports, permits and the other datagrams.
"""

from types import GenericAlias
from typing import Annotated, Any

import attrs
import msgspec

from ..decoding import Decoder
from ..errors import MalformedMessageError
from .numbers import Count, NonNegativeNumber

__all__ = (
    'PlaceEnd',
    'PlaceMessage',
    'PlaceQuestion',
    'PlaceReply',
    'decode_place',
    'encode_place',
    'is_place',
)

_MARK = b'\x04'

# a speed is above 0, and far below this
_MAX_SPEED = 1000

Speed = Annotated[float, msgspec.Meta(gt=0, le=_MAX_SPEED)]


@attrs.frozen
class PlaceQuestion:
    """A question for the best of some upstreams for one request.

    :param number: number of the question at the process that asks.
    :param upstream_ids: of the upstreams that may get the request.
    :param slots: requests that each of them runs at the same time.
    :param speeds: of each of them, relative to the usual one.
    :param saved_shares: of the request's tokens, that it need not read there.
    :param local_count: how many of them, from the first on, are in the failure
        domain of the process that asks.
    """

    number: Count
    upstream_ids: tuple[str, ...]
    slots: tuple[Count, ...]
    speeds: tuple[Speed, ...]
    saved_shares: tuple[NonNegativeNumber, ...]
    local_count: Count


@attrs.frozen
class PlaceReply:
    """The upstream at which a request is counted from now on.

    :param number: number of the question.
    :param online: online requests of all processes there, without it.
    :param batch: batch items of all processes there.
    """

    number: Count
    upstream_id: str
    online: Count
    batch: Count


@attrs.frozen
class PlaceEnd:
    """A request has ended at an upstream, or was not sent there."""

    upstream_id: str


PlaceMessage = PlaceQuestion | PlaceReply | PlaceEnd

_CLASSES: tuple[type[PlaceMessage], ...] = (
    PlaceQuestion,
    PlaceReply,
    PlaceEnd,
)
_ENCODER = msgspec.msgpack.Encoder()


def _fields_decoder(cls: type[PlaceMessage]) -> Decoder[tuple[Any, ...]]:
    """Return a decoder of the field values of a message."""
    types = tuple(field.type for field in attrs.fields(cls))
    decode = msgspec.msgpack.Decoder(GenericAlias(tuple, types)).decode
    return Decoder(decode)


_DECODERS = tuple(_fields_decoder(cls) for cls in _CLASSES)


def is_place(raw: bytes) -> bool:
    """Tell whether a datagram is about places."""
    return raw.startswith(_MARK)


def encode_place(message: PlaceMessage) -> bytes:
    """Encode a message as its class's number and an array of field values."""
    fields = [
        getattr(message, one.name) for one in attrs.fields(type(message))
    ]
    kind = bytes((_CLASSES.index(type(message)),))
    return _MARK + kind + _ENCODER.encode(fields)


def decode_place(raw: bytes) -> PlaceMessage:
    """Decode a message about places from a datagram.

    :raises MalformedMessageError: the bytes are none.
    """
    kind = raw[len(_MARK) : len(_MARK) + 1]
    if not kind or kind[0] >= len(_CLASSES):
        raise MalformedMessageError(f'place message of kind {kind!r}')
    fields = _DECODERS[kind[0]].decode(raw[len(_MARK) + 1 :])
    message = _CLASSES[kind[0]](*fields)
    if isinstance(message, PlaceQuestion):
        _check_question(message)
    return message


def _check_question(question: PlaceQuestion) -> None:
    """Check that a question names upstreams with their slots.

    :raises MalformedMessageError: it does not.
    """
    names, *columns, _ = attrs.astuple(question)[1:]
    counts = {len(column) for column in columns}
    if not names or counts != {len(names)}:
        raise MalformedMessageError(
            f'{len(names)} upstreams described by {counts} values'
        )
