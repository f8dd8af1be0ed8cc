"""briarrill.platform.caller_bounds: parts of a machine held for callers."""

import enum

import attrs

from ..transport.caller_memory import CallerMemory
from ..transport.http_callers import CallerBounds
from .settings import PlatformInstance

__all__ = ('Listener', 'ProcessBounds')

# part of the memory that requests and unread responses of callers may take;
# the rest is for the program, its tables and the copies while they are read
MEMORY_PART = 1 / 8

# smallest budget, of two bodies of the largest size
MIN_HELD_BYTES = 8_388_608

# budget of readiness checks, which have no bodies
CHECKS_HELD_BYTES = 1_048_576

# descriptors that the platform keeps for files
FILE_DESCRIPTORS = 200


class Listener(enum.Enum):
    """What a process listens for, with its part of the descriptors.

    The remaining ones are for upstreams, peers that this process calls, and
    the key-value service.
    """

    CALLERS = 1 / 2
    PEERS = 1 / 4
    CHECKS = 1 / 10


@attrs.define
class ProcessBounds:
    """The bounds of one process; callers and peers share the memory."""

    cfg: PlatformInstance
    memory: CallerMemory = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        """Create the budget that the listeners share."""
        held_bytes = int(self.cfg.memory_bytes * MEMORY_PART)
        self.memory = CallerMemory(max(held_bytes, MIN_HELD_BYTES))

    def of(self, listener: Listener) -> CallerBounds:
        """Return the bounds of a listener."""
        descriptors = self.cfg.max_descriptors - FILE_DESCRIPTORS
        memory = self.memory
        if listener is Listener.CHECKS:
            # a process whose budget is taken is ready all the same
            memory = CallerMemory(CHECKS_HELD_BYTES)
        return CallerBounds(memory, max(int(descriptors * listener.value), 1))
