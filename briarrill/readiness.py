"""briarrill.readiness: whether a process takes work, and its planned stop."""

import trio
from eliot import log_message

__all__ = ('Readiness',)


class Readiness:
    """Whether the process takes work, and its planned stop."""

    def __init__(self) -> None:
        """Start neither ready nor draining."""
        self.has_started = False
        self.is_closed = False
        self.drain = trio.Event()

    @property
    def is_draining(self) -> bool:
        """Whether the planned stop has begun."""
        return self.drain.is_set()

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send requests."""
        return self.has_started and not self.is_draining

    def close(self) -> None:
        """Refuse new work: whoever chooses processes knows of the drain."""
        self.is_closed = True

    def begin_drain(self) -> None:
        """Begin the planned stop."""
        if not self.is_draining:
            log_message('drain:begun')
        self.drain.set()
