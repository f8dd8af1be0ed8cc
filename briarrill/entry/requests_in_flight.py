"""briarrill.entry.requests_in_flight: requests in flight by identifier."""

import contextlib
from collections.abc import Iterator

from ..errors import DuplicateError
from ..metrics import DUPLICATES

__all__ = ('RequestsInFlight',)


class RequestsInFlight:
    """Set of request identifiers; rejects a duplicate in flight."""

    def __init__(self) -> None:
        """Create an empty set."""
        self._request_ids: set[str] = set()

    @contextlib.contextmanager
    def register(self, request_id: str) -> Iterator[None]:
        """Keep an identifier in the set while the context is entered.

        :raises DuplicateError: a request with this identifier is in flight.
        """
        if request_id in self._request_ids:
            DUPLICATES.inc()
            raise DuplicateError(
                'a request with this idempotency key is in flight'
            )
        self._request_ids.add(request_id)
        try:
            yield
        finally:
            self._request_ids.discard(request_id)
