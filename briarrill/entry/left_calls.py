"""briarrill.entry.left_calls: calls that an entry left before their end.

A message of such a call may still arrive. A repeat of its request would have
the same key and take the message for its own.
"""

import time

from ..errors import DuplicateError
from ..metrics import DUPLICATES
from .calls import CallKey

__all__ = ('LeftCalls',)


class LeftCalls:
    """Keys of calls at one sidecar that were left before their end."""

    def __init__(self) -> None:
        """Start without calls."""
        self._deadlines: dict[CallKey, float] = {}

    def __len__(self) -> int:
        """Return the number of remembered calls."""
        return len(self._deadlines)

    def add(self, key: CallKey, deadline_s: float) -> None:
        """Remember a call until its deadline, by the monotonic clock."""
        now_s = time.monotonic()
        self._deadlines = {
            known: until_s
            for known, until_s in self._deadlines.items()
            if until_s > now_s
        }
        self._deadlines[key] = deadline_s

    def check(self, key: CallKey) -> None:
        """Check that no call with a key was left.

        :raises DuplicateError: one was, and it may have run.
        """
        if self._deadlines.get(key, 0) > time.monotonic():
            DUPLICATES.inc()
            raise DuplicateError(
                f'request {key[0]!r} was sent before and has no known end'
            )
