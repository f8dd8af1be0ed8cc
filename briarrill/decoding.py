"""briarrill.decoding: decodes bytes that other writers have made.

Bytes can be unreadable in several ways, each with an exception of its own.
Here all of them end in one error, so that one piece costs only itself.
"""

import base64
import re
import zlib
from collections.abc import Callable
from typing import Generic, TypeVar

import msgspec

from .errors import MalformedMessageError

__all__ = (
    'Decoder',
    'decode_base64',
    'decompress',
    'find_whole_number',
    'json_decoder',
    'msgpack_decoder',
)

# largest decompressed record; those of the largest jobs take some megabytes
MAX_DECOMPRESSED_BYTES = 64_000_000

# as many digits as fit into 64 bits, which messages to peers hold
_WHOLE_NUMBER = re.compile(b'[0-9]{1,19}')

# RecursionError: the decoders count nested levels and the caller's own stack
# frames together, up to the interpreter's limit of 1,000
_UNREADABLE = (
    ValueError,
    OverflowError,
    RecursionError,
    msgspec.MsgspecError,
    zlib.error,
)

_Decoded = TypeVar('_Decoded')


class Decoder(Generic[_Decoded]):
    """Decodes bytes with a function that may raise any of several errors."""

    def __init__(self, decode: Callable[[bytes], _Decoded]) -> None:
        """Store the function."""
        self._decode = decode

    def decode(self, raw: bytes) -> _Decoded:
        """Decode bytes.

        :raises MalformedMessageError: they cannot be read.
        """
        try:
            return self._decode(raw)
        except _UNREADABLE as exc:
            raise MalformedMessageError(str(exc)) from exc


def json_decoder(cls: type[_Decoded]) -> Decoder[_Decoded]:
    """Return a decoder of JSON to a type."""
    return Decoder(msgspec.json.Decoder(cls).decode)


def msgpack_decoder(cls: type[_Decoded]) -> Decoder[_Decoded]:
    """Return a decoder of MessagePack to a type."""
    return Decoder(msgspec.msgpack.Decoder(cls).decode)


def find_whole_number(text: bytes) -> int | None:
    """Return the number that ASCII digits give.

    None for any other text, and for more digits than 19.
    """
    return int(text) if _WHOLE_NUMBER.fullmatch(text) else None


def decode_base64(text: str) -> bytes:
    """Decode standard base64 with padding.

    :raises MalformedMessageError: the text is none.
    """
    try:
        return base64.b64decode(text, validate=True)
    except ValueError as exc:
        raise MalformedMessageError(f'base64: {exc}') from exc


def decompress(packed: bytes) -> bytes:
    """Decompress what ``zlib.compress`` returned.

    :raises MalformedMessageError: the bytes are damaged, or decompressed
        larger than ``MAX_DECOMPRESSED_BYTES``.
    """
    decompressor = zlib.decompressobj()
    try:
        unpacked = decompressor.decompress(packed, MAX_DECOMPRESSED_BYTES)
    except zlib.error as exc:
        raise MalformedMessageError(str(exc)) from exc
    if not decompressor.eof:
        raise MalformedMessageError(
            f'compressed data is cut, or over {MAX_DECOMPRESSED_BYTES} bytes'
        )
    return unpacked
