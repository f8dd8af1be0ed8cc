"""briarrill.coordination.watchers: watch the configuration head key."""

import contextlib
import random

import trio

from ..errors import BriarrillError
from ..state.keys import CONFIG_HEAD_KEY
from ..transport.key_value import KeyValueService
from .configuration import ConfigHolder

__all__ = ('watch_configuration',)

# a watch is reopened after this time, since its connection may be dead
# without an error
MAX_WATCH_S = 30.0

# longest pause before a failed watch is reopened
MAX_RETRY_PAUSE_S = 4.0
FIRST_RETRY_PAUSE_S = 0.25


async def watch_configuration(
    service: KeyValueService, holder: ConfigHolder
) -> None:
    """Put each version that the service reports in force, until cancelled."""
    pause_s = FIRST_RETRY_PAUSE_S
    while True:
        previous_version = holder.version
        with contextlib.suppress(BriarrillError):
            await _watch_once(service, holder)
            pause_s = FIRST_RETRY_PAUSE_S
            continue
        if holder.version > previous_version:
            pause_s = FIRST_RETRY_PAUSE_S
        # random pause, so that processes do not all reconnect at once
        await trio.sleep(pause_s * random.uniform(0.5, 1))
        pause_s = min(MAX_RETRY_PAUSE_S, pause_s * 2)


async def _watch_once(service: KeyValueService, holder: ConfigHolder) -> None:
    """Watch for ``MAX_WATCH_S`` and put received versions in force.

    :raises BriarrillError: the watch failed or a record is invalid.
    """
    with trio.move_on_after(MAX_WATCH_S):
        events = service.watch(CONFIG_HEAD_KEY)
        async with contextlib.aclosing(events):  # type: ignore[type-var]
            async for event in events:
                if event.body:
                    holder.apply(event.body)
