"""briarrill.batch.store_server: answers requests for segments."""

import attrs
import trio

from ..protocol.messages import GetSegment, Message, Ok, PutSegment, Segment
from ..state.segments import SegmentFolder

__all__ = ('StoreServer',)


@attrs.frozen
class StoreServer:
    """Segments of one data folder, for peers.

    Disk access runs in threads so the event loop is not held up.
    """

    folder: SegmentFolder

    async def answer_put(self, put: PutSegment) -> Message:
        """Store a segment durably, then answer."""
        await trio.to_thread.run_sync(self.folder.put, put.segment, put.body)
        return Ok()

    async def answer_get(self, get: GetSegment) -> Message:
        """Read a segment."""
        body = await trio.to_thread.run_sync(self.folder.get, get.segment)
        return Segment(segment=get.segment, body=body)
