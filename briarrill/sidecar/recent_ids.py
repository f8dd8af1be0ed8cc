"""briarrill.sidecar.recent_ids: request identifiers until their deadline."""

import heapq
import time

from ..errors import OverloadedError

__all__ = ('RecentIds',)

# identifiers kept at most
MAX_IDS = 100_000


class RecentIds:
    """Remembers identifiers for as long as a repetition may arrive.

    None is forgotten early: a full memory refuses new ones instead.

    :param limit: identifiers kept at most.
    """

    def __init__(self, limit: int = MAX_IDS) -> None:
        """Start empty."""
        self._limit = limit
        self._known: set[str] = set()
        self._by_expiry: list[tuple[float, str]] = []

    def __len__(self) -> int:
        """Return the identifiers that are kept."""
        return len(self._known)

    def add(self, identifier: str, keep_s: float) -> bool:
        """Remember an identifier; return whether it is new.

        :param keep_s: seconds until the identifier may be forgotten.
        :raises OverloadedError: there is no room.
        """
        now = time.monotonic()
        self._forget_expired(now)
        if identifier in self._known:
            return False
        if len(self._known) >= self._limit:
            raise OverloadedError(
                'too many recent requests',
                retry_after_s=self._by_expiry[0][0] - now,
            )
        self._known.add(identifier)
        heapq.heappush(self._by_expiry, (now + keep_s, identifier))
        return True

    def _forget_expired(self, now: float) -> None:
        while self._by_expiry and self._by_expiry[0][0] <= now:
            _, identifier = heapq.heappop(self._by_expiry)
            self._known.remove(identifier)
