"""briarrill.transport.turns: gives other tasks turns while bytes are parsed.

Nothing waits while events come from bytes that were received, so that neither
another task would run nor a time limit end the work.
"""

import attrs
import trio

__all__ = ('MAX_EVENTS_PER_TURN', 'Turns')

# parsed events after which other tasks get their turn; a read holds thousands
# of chunks of one byte, each of which takes as long as a large one
MAX_EVENTS_PER_TURN = 32


@attrs.define
class Turns:
    """Counts the events that one task has parsed."""

    _events: int = attrs.field(default=0, init=False)

    async def before_event(self) -> None:
        """Let other tasks run now and then, and time limits always."""
        self._events += 1
        if self._events < MAX_EVENTS_PER_TURN:
            await trio.lowlevel.checkpoint_if_cancelled()
            return
        self._events = 0
        await trio.lowlevel.checkpoint()
