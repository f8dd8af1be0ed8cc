"""briarrill.protocol.stream_origins: tell which version began a stream.

These datagrams share the UDP port of the load reports. Their first byte tells
them apart from reports, probes and permits.
"""

import attrs
import msgspec

from ..decoding import msgpack_decoder
from ..errors import MalformedMessageError

__all__ = (
    'OriginNotice',
    'OriginQuestion',
    'OriginReply',
    'StreamOrigin',
    'decode_origin',
    'encode_origin',
    'is_origin',
)

_MARK = b'\x02'


@attrs.frozen
class StreamOrigin:
    """What began a stream.

    :param version: software version of its upstream, empty if upstreams name
        none; None if it could not be known.
    :param service: service of that upstream.
    """

    version: str | None
    service: str = ''


@attrs.frozen
class OriginNotice:
    """Tells a peer what began a stream.

    :param stream: key of the stream.
    :param version: as in :class:`StreamOrigin`.
    :param service: as in :class:`StreamOrigin`.
    """

    stream: int
    version: str | None
    service: str = ''


@attrs.frozen
class OriginQuestion:
    """Asks a peer what began a stream.

    :param number: number of the question at the process that asks.
    """

    number: int
    stream: int


@attrs.frozen
class OriginReply:
    """Answers a question.

    :param is_known: whether the peer knows what began the stream.
    :param version: as in :class:`StreamOrigin`.
    :param service: as in :class:`StreamOrigin`.
    """

    number: int
    is_known: bool
    version: str | None
    service: str = ''


_OriginMessage = OriginNotice | OriginQuestion | OriginReply

_CLASSES: tuple[type[_OriginMessage], ...] = (
    OriginNotice,
    OriginQuestion,
    OriginReply,
)
_CLASSES_BY_NUMBER: dict[object, type[_OriginMessage]] = dict(
    enumerate(_CLASSES)
)
_FIELDS_DECODER = msgpack_decoder(list[int | str | bool | None])


def is_origin(raw: bytes) -> bool:
    """Tell whether a datagram is a message about the origin of a stream."""
    return raw.startswith(_MARK)


def encode_origin(message: _OriginMessage) -> bytes:
    """Encode a message as an array of its class's number and field values."""
    fields = attrs.astuple(message)
    number = _CLASSES.index(type(message))
    return _MARK + msgspec.msgpack.encode((number, *fields))


def decode_origin(raw: bytes) -> _OriginMessage:
    """Decode a message from a datagram.

    :raises MalformedMessageError: the bytes are none.
    """
    try:
        number, *fields = _FIELDS_DECODER.decode(raw[len(_MARK) :])
        cls = _CLASSES_BY_NUMBER[number]
        names = [field.name for field in attrs.fields(cls)]
        return msgspec.convert(dict(zip(names, fields, strict=True)), cls)
    except (msgspec.MsgspecError, ValueError, KeyError) as exc:
        raise MalformedMessageError(f'stream origin: {exc!r}') from exc
