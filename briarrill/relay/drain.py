"""briarrill.relay.drain: the planned stop of a front."""

import trio
from eliot import log_message

from .front import Front

__all__ = ('drain_front',)

# the balancer asks once a second and needs two misses; then a margin for
# the requests of callers that it sent before
NOTICE_S = 2.6

# time before the kill at which what still runs is given up
KILL_MARGIN_S = 0.5

POLL_S = 0.02

# time for the last bytes of an answer to leave
FLUSH_S = 0.05


async def drain_front(front: Front, grace_s: float) -> None:
    """Serve until the balancer knows, then let what runs end.

    :param grace_s: time until the process is killed.
    """
    with trio.move_on_after(grace_s - KILL_MARGIN_S):
        await trio.sleep(NOTICE_S)
        front.readiness.close()
        front.close_idle()
        while front.active:
            await trio.sleep(POLL_S)
        await trio.sleep(FLUSH_S)
    log_message('drain:ended', cut_off=front.active)
