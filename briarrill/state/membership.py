"""briarrill.state.membership: who should be there.

Holds the last instance list. The list lags, so whether a peer answers is
decided by those who talk to it.
"""

import contextlib

import trio
from eliot import log_message

from ..errors import PlatformUnavailableError
from ..transport.instance_list import (
    Instance,
    InstanceList,
    InstanceState,
    Role,
)

__all__ = ('Membership',)


class Membership:
    """The instances of the fleet as last listed.

    :param instances: initial list, default empty.
    """

    def __init__(self, instances: tuple[Instance, ...] = ()) -> None:
        """Start with a known list."""
        self._instances = instances
        self._changed = trio.Event()

    @property
    def instances(self) -> tuple[Instance, ...]:
        """Return all listed instances."""
        return self._instances

    def live(self, role: Role, pool: str = '') -> list[Instance]:
        """Return live instances with a role, in a pool if one is named."""
        return [
            instance
            for instance in self._instances
            if instance.state is InstanceState.LIVE
            and role in instance.roles
            and pool in {'', instance.pool}
        ]

    def find(self, name: str) -> Instance | None:
        """Return the instance with this name."""
        for instance in self._instances:
            if instance.name == name:
                return instance
        return None

    async def wait_changed(self) -> None:
        """Wait until the list differs from the present one."""
        await self._changed.wait()

    def update(self, instances: tuple[Instance, ...]) -> None:
        """Take a new list."""
        if instances == self._instances:
            return
        log_message('membership:changed', instances=len(instances))
        self._instances = instances
        self._changed.set()
        self._changed = trio.Event()

    async def follow(self, source: InstanceList, poll_s: float) -> None:
        """Poll the instance list until cancelled; keep the last on outage."""
        while True:
            with contextlib.suppress(PlatformUnavailableError):
                self.update(await source.fetch())
            await trio.sleep(poll_s)
