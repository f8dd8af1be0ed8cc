"""briarrill.sidecar.recent_ids: request identifiers until their deadline."""

import collections
import time

__all__ = ('RecentIds',)

# identifiers kept at most; the oldest goes first
MAX_IDS = 100_000


class RecentIds:
    """Remembers identifiers for as long as a repetition may arrive."""

    def __init__(self) -> None:
        """Start empty."""
        self._expiry: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def add(self, identifier: str, keep_s: float) -> bool:
        """Remember an identifier; return whether it is new.

        :param keep_s: seconds until the identifier may be forgotten.
        """
        now = time.monotonic()
        self._forget_expired(now)
        if self._expiry.get(identifier, 0) > now:
            return False
        self._expiry[identifier] = now + keep_s
        return True

    def _forget_expired(self, now: float) -> None:
        while self._expiry:
            oldest = next(iter(self._expiry))
            has_room = len(self._expiry) < MAX_IDS
            if has_room and self._expiry[oldest] > now:
                return
            self._expiry.popitem(last=False)
