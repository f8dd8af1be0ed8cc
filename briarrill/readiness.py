"""briarrill.readiness: readiness and drain state of a process."""

import trio
from eliot import log_message

__all__ = ('Readiness',)


class Readiness:
    """Readiness and drain state of a process."""

    def __init__(self) -> None:
        """Start neither ready nor draining."""
        self.has_started = False
        self.rejects_work = False
        self.drain_begun = trio.Event()

    @property
    def is_draining(self) -> bool:
        """Whether the drain has begun."""
        return self.drain_begun.is_set()

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer may send requests."""
        return self.has_started and not self.is_draining

    def reject_work(self) -> None:
        """Reject new work; call once balancers and peers know of the drain."""
        self.rejects_work = True

    def begin_drain(self) -> None:
        """Begin the drain; further calls have no effect."""
        if not self.is_draining:
            log_message('drain:begun')
        self.drain_begun.set()
