"""briarrill.protocol.messages.store: transfer of segments."""

import attrs

from .base import Message

__all__ = ('GetSegment', 'PutSegment', 'Segment')


@attrs.frozen
class PutSegment(Message):
    """Requests that the receiver stores a segment in its data folder."""

    segment: str
    body: bytes


@attrs.frozen
class GetSegment(Message):
    """Requests a segment from the receiver's data folder."""

    segment: str


@attrs.frozen
class Segment(Message):
    """Replies to GetSegment with the bytes of the segment."""

    segment: str
    body: bytes
