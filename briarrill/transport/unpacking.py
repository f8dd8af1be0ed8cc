"""briarrill.transport.unpacking: unpacks compressed bodies in small parts.

A few bytes may unpack to a thousand times as many, so that a limit on a whole
body must apply while it is unpacked.
"""

import zlib
from collections.abc import Iterator

from ..errors import MalformedMessageError

__all__ = ('Unpacker',)

# largest part of an unpacked body
MAX_PART_BYTES = 65_536

# window sizes that tell zlib which header to expect
_GZIP_BITS = 31
_ZLIB_BITS = 15
_NO_HEADER_BITS = -15

_GZIP_ENCODINGS = frozenset(('gzip', 'x-gzip'))
_PACKED_ENCODINGS = _GZIP_ENCODINGS | {'deflate'}

# bytes of a zlib header; as a number it is a multiple of the divisor
_HEADER_BYTES = 2
_HEADER_DIVISOR = 31


class Unpacker:
    """Unpacks one body; that of any other encoding stays as it is.

    :param encoding: the content encoding that its head names.
    """

    def __init__(self, encoding: str) -> None:
        """Start before the first byte."""
        self._encoding = encoding.strip().lower()
        self._start = b''
        self._zlib: zlib._Decompress | None = None

    def unpack(self, packed: bytes) -> Iterator[bytes]:
        """Yield what the next bytes of the body hold.

        :raises MalformedMessageError: they are not compressed.
        """
        if self._encoding not in _PACKED_ENCODINGS:
            yield packed
            return
        if self._zlib is None:
            packed = self._start + packed
            self._start = packed
            if len(packed) < _HEADER_BYTES:
                return
            self._zlib = zlib.decompressobj(self._window_bits())
        try:
            while part := self._zlib.decompress(packed, MAX_PART_BYTES):
                yield part
                packed = self._zlib.unconsumed_tail
        except zlib.error as exc:
            raise MalformedMessageError(f'compressed body: {exc}') from exc

    def _window_bits(self) -> int:
        """Return the kind of header; some senders leave out that of zlib."""
        if self._encoding in _GZIP_ENCODINGS:
            return _GZIP_BITS
        header = int.from_bytes(self._start[:_HEADER_BYTES], 'big')
        return _NO_HEADER_BITS if header % _HEADER_DIVISOR else _ZLIB_BITS
