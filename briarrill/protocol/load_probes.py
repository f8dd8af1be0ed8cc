"""briarrill.protocol.load_probes: questions for the load of one upstream.

Probes share the UDP port of the load reports. Their first byte tells them
apart: it begins no array, which every report is.
"""

import attrs
import msgspec

from ..decoding import msgpack_decoder
from ..errors import MalformedMessageError
from .numbers import Count

__all__ = (
    'LoadProbe',
    'ProbeReply',
    'decode_probe',
    'encode_probe',
    'is_probe',
)

_MARK = b'\x00'


@attrs.frozen
class LoadProbe:
    """A question for the load of an upstream.

    :param number: number of the question at the process that asks.
    """

    number: int
    upstream_id: str


@attrs.frozen
class ProbeReply:
    """The load of an upstream as its owner knows it.

    :param number: number of the question.
    :param online: online requests of all processes at the upstream.
    :param batch: batch items of all processes at the upstream.
    :param online_tokens: that the online requests may hold.
    :param batch_tokens: that the batch items may hold.
    """

    number: int
    upstream_id: str
    online: Count
    batch: Count
    online_tokens: Count = 0
    batch_tokens: Count = 0


_FIELDS_DECODER = msgpack_decoder(list[int | str])
_CLASSES: dict[int, type[LoadProbe | ProbeReply]] = {
    len(attrs.fields(cls)): cls for cls in (LoadProbe, ProbeReply)
}


def is_probe(raw: bytes) -> bool:
    """Tell whether a datagram is a probe or a reply to one."""
    return raw.startswith(_MARK)


def encode_probe(message: LoadProbe | ProbeReply) -> bytes:
    """Encode a probe or a reply as an array of its field values."""
    return _MARK + msgspec.msgpack.encode(attrs.astuple(message))


def decode_probe(raw: bytes) -> LoadProbe | ProbeReply:
    """Decode a probe or a reply from a datagram.

    :raises MalformedMessageError: the bytes are neither.
    """
    try:
        fields = _FIELDS_DECODER.decode(raw[len(_MARK) :])
        cls = _CLASSES[len(fields)]
        names = [field.name for field in attrs.fields(cls)]
        return msgspec.convert(dict(zip(names, fields, strict=True)), cls)
    except (msgspec.MsgspecError, KeyError) as exc:
        raise MalformedMessageError(f'load probe: {exc!r}') from exc
