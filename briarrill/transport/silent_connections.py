"""briarrill.transport.silent_connections: which connection closes first.

Load pattern: callers open connections up to the descriptors of a process and
send nothing, or send their requests without an end. The number of connections
stays below the descriptors; at the limit a new one takes the place of that
which has been silent for longest. Connections with a request that has arrived
whole are not closed.
"""

from collections import OrderedDict
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

import attrs

__all__ = ('ConnectionPlaces',)

_Conn = TypeVar('_Conn', bound=Hashable)


@attrs.define
class ConnectionPlaces(Generic[_Conn]):
    """The open connections of a listener, by how long they are silent.

    :param max_connections: how many may be open.
    :param close: closes a connection that gives way.
    """

    max_connections: int
    close: Callable[[_Conn], None]
    _silent: OrderedDict[_Conn, None] = attrs.field(
        factory=OrderedDict, init=False
    )
    _busy: set[_Conn] = attrs.field(factory=set, init=False)

    def admit(self, conn: _Conn) -> bool:
        """Admit a new connection, which begins silent.

        :return: whether it may stay open; none does if all others have
            requests in progress.
        """
        if len(self._silent) + len(self._busy) >= self.max_connections:
            oldest = next(iter(self._silent), None)
            if oldest is None:
                return False
            self._silent.pop(oldest)
            self.close(oldest)
        self._silent[conn] = None
        return True

    def mark_progress(self, conn: _Conn) -> None:
        """Record that a part of a request arrived."""
        if conn in self._silent:
            self._silent.move_to_end(conn)

    def mark_busy(self, conn: _Conn) -> None:
        """Record that a connection has a request that arrived whole."""
        if conn in self._silent:
            self._silent.pop(conn)
            self._busy.add(conn)

    def mark_silent(self, conn: _Conn) -> None:
        """Record that a connection waits for the rest of a request."""
        if conn in self._busy:
            self._busy.remove(conn)
            self._silent[conn] = None

    def remove(self, conn: _Conn) -> None:
        """Forget a connection that was closed."""
        self._silent.pop(conn, None)
        self._busy.discard(conn)
