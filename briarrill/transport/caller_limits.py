"""briarrill.transport.caller_limits: limits on callers' requests."""

import attrs

from .caller_memory import CallerMemory

__all__ = ('CallerBounds', 'CallerLimits')

# bounds of a listener that states none
DEFAULT_HELD_BYTES = 67_108_864
DEFAULT_MAX_CONNECTIONS = 4096


@attrs.frozen
class CallerLimits:
    """Limits on the size and the duration of a caller's requests.

    :param header_timeout_s: time limit from the first byte to the end of the
        headers.
    :param idle_timeout_s: time limit for the first byte of the next request.
    :param progress_timeout_s: time within which a body has to end or to make
        progress by ``progress_bytes``.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    progress_timeout_s: float = 10.0
    progress_bytes: int = 1000


@attrs.frozen
class CallerBounds:
    """Bounds on what a process holds for all callers of a listener.

    :param memory: bytes of their requests and responses; listeners of one
        process share it.
    :param max_connections: connections that are open at once.
    """

    memory: CallerMemory = attrs.field(
        factory=lambda: CallerMemory(DEFAULT_HELD_BYTES)
    )
    max_connections: int = DEFAULT_MAX_CONNECTIONS
