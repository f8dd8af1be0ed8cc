"""briarrill.coordination.watchers: follows the service for a fleet."""

import contextlib
import random

import trio

from ..errors import BriarrillError
from ..state.keys import CONFIG_HEAD
from ..transport.key_value import KeyValueService
from .configuration import ConfigHolder

__all__ = ('watch_configuration',)

# a watch is renewed after this time, against connections that are dead
# without notice
WATCH_S = 30.0

# longest pause before a watch that failed is opened again
MAX_PAUSE_S = 4.0
FIRST_PAUSE_S = 0.25


async def watch_configuration(
    service: KeyValueService, holder: ConfigHolder
) -> None:
    """Take each version that the service shows, until cancelled."""
    pause_s = FIRST_PAUSE_S
    while True:
        before = holder.version
        with contextlib.suppress(BriarrillError):
            await _watch_once(service, holder)
            pause_s = FIRST_PAUSE_S
            continue
        if holder.version > before:
            pause_s = FIRST_PAUSE_S
        # spread over time, so that a service that is back is not stormed
        await trio.sleep(pause_s * random.uniform(0.5, 1))
        pause_s = min(MAX_PAUSE_S, pause_s * 2)


async def _watch_once(service: KeyValueService, holder: ConfigHolder) -> None:
    """Watch for a while; return when it is time to renew the watch."""
    with trio.move_on_after(WATCH_S):
        events = service.watch(CONFIG_HEAD)
        async with contextlib.aclosing(events):  # type: ignore[type-var]
            async for event in events:
                if event.body:
                    holder.take(event.body)
