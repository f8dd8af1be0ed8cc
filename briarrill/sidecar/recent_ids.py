"""briarrill.sidecar.recent_ids: detects repeated request identifiers."""

import heapq
import time

from ..errors import OverloadedError

__all__ = ('RecentIds',)

MAX_RECENT_IDS = 100_000


class RecentIds:
    """Set of request identifiers, each kept until its expiry.

    A full set rejects new identifiers; it never removes one early, since
    that would let a repeated request run again.

    :param limit: maximum number of identifiers.
    """

    def __init__(self, limit: int = MAX_RECENT_IDS) -> None:
        """Create an empty set."""
        self._limit = limit
        self._kept_ids: set[str] = set()
        self._expiry_heap: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Return the number of identifiers, expired ones included."""
        return len(self._kept_ids)

    def add(self, identifier: str, keep_s: float) -> bool:
        """Add an identifier; return whether it is new.

        :param keep_s: time until the identifier expires.
        :raises OverloadedError: the set is full.
        """
        now = time.monotonic()
        self._remove_expired(now)
        if identifier in self._kept_ids:
            return False
        if len(self._kept_ids) >= self._limit:
            raise OverloadedError(
                f'the limit of {self._limit} recent identifiers is reached',
                retry_after_s=self._expiry_heap[0][0] - now,
            )
        self._kept_ids.add(identifier)
        heapq.heappush(self._expiry_heap, (now + keep_s, identifier))
        return True

    def _remove_expired(self, now: float) -> None:
        """Remove the identifiers that expired before ``now``."""
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            _, identifier = heapq.heappop(self._expiry_heap)
            self._kept_ids.remove(identifier)
