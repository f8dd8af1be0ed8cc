"""briarrill.relay.drain: stops the callers' front end gracefully."""

from collections.abc import Callable

import trio
from eliot import log_message

from .front_end import FrontEnd

__all__ = ('drain_front_end',)

# the load balancer checks once a second and removes an instance after two
# failed checks; the rest is a margin for requests already on their way
BALANCER_NOTICE_S = 2.6

# requests still running this long before the kill are ended
CUT_OFF_MARGIN_S = 0.5

# the process ends this long before the kill, with its last errors sent
END_MARGIN_S = 0.2

DRAIN_POLL_INTERVAL_S = 0.02

# time for the last bytes of a response to reach the network
RESPONSE_FLUSH_S = 0.05


async def drain_front_end(
    front: FrontEnd, grace_s: float, stop_accepting: Callable[[], None]
) -> None:
    """Serve until the balancer has removed this instance, then finish.

    Requests in progress may end; new ones are rejected until the last one
    has ended, and so are those that are still arriving when they could not
    end in time. Then no more connections are accepted, and those that are
    open end after the request that is arriving on them.

    :param grace_s: time until the process is killed.
    """
    front.begin_stop(BALANCER_NOTICE_S, grace_s - CUT_OFF_MARGIN_S)
    with trio.move_on_after(grace_s - END_MARGIN_S):
        await trio.sleep(BALANCER_NOTICE_S)
        front.readiness.reject_work()
        front.close_idle()
        while front.active_requests:
            await trio.sleep(DRAIN_POLL_INTERVAL_S)
        stop_accepting()
        # connections that were just accepted have not begun to wait yet
        await trio.sleep(DRAIN_POLL_INTERVAL_S)
        while front.has_connections:
            front.close_idle()
            await trio.sleep(DRAIN_POLL_INTERVAL_S)
        await trio.sleep(RESPONSE_FLUSH_S)
    log_message('drain:ended', cut_off=front.active_requests)
