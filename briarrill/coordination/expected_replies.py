"""briarrill.coordination.expected_replies: replies that tasks wait for.

Datagrams of peers are read at intervals, to save wake-ups. While a task waits
for a reply they are read at once.
"""

import contextlib
import itertools
import secrets
from collections.abc import Iterator

import attrs
import trio

__all__ = ('ExpectedReplies', 'question_numbers')

# the numbers stay below 2**63, the largest that messages carry
FIRST_NUMBER_BITS = 62


def question_numbers() -> Iterator[int]:
    """Return numbers of questions that no other process has used.

    A late reply to a question of the process before, at the same address,
    must not answer one of this process.
    """
    return itertools.count(secrets.randbits(FIRST_NUMBER_BITS))


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
