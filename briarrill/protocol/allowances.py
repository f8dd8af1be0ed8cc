"""briarrill.protocol.allowances: questions for requests under a rate.

They share the UDP port of the load reports. Their first byte tells them apart
from other messages.
"""

import sys
from typing import Annotated

import attrs
import msgspec

from ..decoding import msgpack_decoder
from ..errors import MalformedMessageError
from .numbers import Count, NonNegativeNumber

__all__ = (
    'AllowanceMessage',
    'AllowanceReply',
    'AllowanceRequest',
    'AllowanceReturn',
    'decode_allowance',
    'encode_allowance',
    'is_allowance',
)

_MARK = b'\x03'

# a divisor; one request in eleven days
_MIN_RATE_PER_S = 1e-6

_Rate = Annotated[
    float, msgspec.Meta(ge=_MIN_RATE_PER_S, le=sys.float_info.max)
]


@attrs.frozen
class AllowanceRequest:
    """A question for requests of a customer.

    :param number: number of the question at the process that asks.
    :param wanted: requests to be lent.
    :param waiting: those of them that have arrived.
    :param version: of the configuration that has the limit.
    """

    number: int
    customer: str
    wanted: Count
    waiting: Count
    requests_per_second: _Rate
    burst: NonNegativeNumber
    version: int


@attrs.frozen
class AllowanceReply:
    """The answer to a question.

    :param lent: requests that may be admitted.
    :param retry_after_s: time until the next one can be lent.
    """

    number: int
    lent: Count
    retry_after_s: NonNegativeNumber


@attrs.frozen
class AllowanceReturn:
    """Lent requests that were not used; it is not answered."""

    customer: str
    count: Count


AllowanceMessage = AllowanceRequest | AllowanceReply | AllowanceReturn

_CLASSES: tuple[type[AllowanceMessage], ...] = (
    AllowanceRequest,
    AllowanceReply,
    AllowanceReturn,
)
_CLASSES_BY_NUMBER: dict[object, type[AllowanceMessage]] = dict(
    enumerate(_CLASSES)
)
_FIELDS_DECODER = msgpack_decoder(list[int | float | str])


def is_allowance(raw: bytes) -> bool:
    """Tell whether a datagram is one of these messages."""
    return raw.startswith(_MARK)


def encode_allowance(message: AllowanceMessage) -> bytes:
    """Encode a message as an array of its class's number and field values."""
    fields = attrs.astuple(message)
    number = _CLASSES.index(type(message))
    return _MARK + msgspec.msgpack.encode((number, *fields))


def decode_allowance(raw: bytes) -> AllowanceMessage:
    """Decode a message from a datagram.

    :raises MalformedMessageError: the bytes are none.
    """
    try:
        number, *fields = _FIELDS_DECODER.decode(raw[len(_MARK) :])
        cls = _CLASSES_BY_NUMBER[number]
        names = [field.name for field in attrs.fields(cls)]
        return msgspec.convert(dict(zip(names, fields, strict=True)), cls)
    except (msgspec.MsgspecError, ValueError, KeyError) as exc:
        raise MalformedMessageError(f'allowance: {exc!r}') from exc
