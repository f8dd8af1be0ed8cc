"""briarrill.coordination.expected_replies: replies that tasks wait for.

Datagrams of peers are read at intervals, to save wake-ups. While a task waits
for a reply they are read at once.
"""

import contextlib
from collections.abc import Iterator

import attrs
import trio

__all__ = ('ExpectedReplies',)


@attrs.define
class ExpectedReplies:
    """Counts the tasks that wait for a reply."""

    _count: int = attrs.field(default=0, init=False)
    _expected: trio.Event = attrs.field(factory=trio.Event, init=False)

    async def wait(self) -> None:
        """Wait until a reply is expected."""
        await self._expected.wait()

    @contextlib.contextmanager
    def expecting(self) -> Iterator[None]:
        """Expect a reply inside the ``with`` block."""
        self._count += 1
        self._expected.set()
        try:
            yield
        finally:
            self._count -= 1
            if not self._count:
                self._expected = trio.Event()
