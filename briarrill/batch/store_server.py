"""briarrill.batch.store_server: serves segments of a data folder to peers."""

import attrs
import trio

from ..protocol.messages import GetSegment, Message, Ok, PutSegment, Segment
from ..state.segments import SegmentFolder

__all__ = ('StoreServer',)


@attrs.frozen
class StoreServer:
    """Stores and reads segments in one data folder for peers.

    Disk access runs in threads so that it does not block the event loop.
    """

    folder: SegmentFolder

    async def handle_put(self, put: PutSegment) -> Message:
        """Store a segment durably.

        :raises StoreFullError: the data folder is full.
        :raises SegmentLostError: the bytes do not match the name.
        """
        await trio.to_thread.run_sync(self.folder.put, put.segment, put.body)
        return Ok()

    async def handle_get(self, get: GetSegment) -> Message:
        """Read a segment.

        :raises NotFoundError: the folder has no such segment.
        :raises SegmentLostError: the copy is damaged.
        """
        body = await trio.to_thread.run_sync(self.folder.get, get.segment)
        return Segment(segment=get.segment, body=body)
