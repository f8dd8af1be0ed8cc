"""briarrill.readiness: readiness and drain state of a process."""

import trio
from eliot import log_message

__all__ = ('Readiness',)


class Readiness:
    """Readiness and drain state of a process."""

    def __init__(self) -> None:
        """Start neither ready nor draining."""
        self.has_started = False
        self.is_closed = False
        self.drain = trio.Event()

    @property
    def is_draining(self) -> bool:
        """Whether the drain has begun."""
        return self.drain.is_set()

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send requests."""
        return self.has_started and not self.is_draining

    def close(self) -> None:
        """Reject new work; load balancers and peers know of the drain."""
        self.is_closed = True

    def begin_drain(self) -> None:
        """Begin the drain; further calls have no effect."""
        if not self.is_draining:
            log_message('drain:begun')
        self.drain.set()
