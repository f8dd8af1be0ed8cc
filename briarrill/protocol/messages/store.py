"""briarrill.protocol.messages.store: segments of bulk data."""

import attrs

from .base import Message

__all__ = ('GetSegment', 'PutSegment', 'Segment')


@attrs.frozen
class PutSegment(Message):
    """Stores a segment in the receiver's data folder."""

    segment: str
    body: bytes


@attrs.frozen
class GetSegment(Message):
    """Asks for a segment."""

    segment: str


@attrs.frozen
class Segment(Message):
    """The bytes of a segment."""

    segment: str
    body: bytes
