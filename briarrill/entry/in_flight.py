"""briarrill.entry.in_flight: identifiers of the requests in flight."""

import contextlib
from collections.abc import Iterator

from ..errors import DuplicateError
from ..metrics import DUPLICATES

__all__ = ('RequestsInFlight',)


class RequestsInFlight:
    """Refuses a named call while the same one is still running."""

    def __init__(self) -> None:
        """Start empty."""
        self._identifiers: set[str] = set()

    @contextlib.contextmanager
    def hold(self, identifier: str) -> Iterator[None]:
        """Hold an identifier while its request is in flight.

        :raises DuplicateError: the identifier is held already.
        """
        if identifier in self._identifiers:
            DUPLICATES.inc()
            raise DuplicateError('the same call is in flight')
        self._identifiers.add(identifier)
        try:
            yield
        finally:
            self._identifiers.discard(identifier)
