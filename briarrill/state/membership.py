"""briarrill.state.membership: the latest instance list of the fleet.

The list lags behind the real state, so whether a peer responds is determined
by the processes that send to it.
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
    """The latest instance list of the fleet.

    :param instances: initial list.
    """

    def __init__(self, instances: tuple[Instance, ...] = ()) -> None:
        """Initialize with a list."""
        self._instances = instances
        self._changed = trio.Event()

    @property
    def instances(self) -> tuple[Instance, ...]:
        """All listed instances, in any state."""
        return self._instances

    def live_instances(self, role: Role, pool: str = '') -> list[Instance]:
        """Return the live instances with a role.

        :param pool: limits them to this pool; empty for all pools.
        """
        return [
            instance
            for instance in self._instances
            if instance.state is InstanceState.LIVE
            and role in instance.roles
            and pool in {'', instance.pool}
        ]

    def find_instance(self, name: str) -> Instance | None:
        """Return the instance with this name, None if it is not listed."""
        for instance in self._instances:
            if instance.name == name:
                return instance
        return None

    async def wait_changed(self) -> None:
        """Wait for the next change of the list."""
        await self._changed.wait()

    def replace_instances(self, instances: tuple[Instance, ...]) -> None:
        """Replace the list and notify waiters, unless it is unchanged."""
        if instances == self._instances:
            return
        log_message('membership:changed', instances=len(instances))
        self._instances = instances
        self._changed.set()
        self._changed = trio.Event()

    async def poll_instance_list(
        self, instance_list: InstanceList, poll_s: float
    ) -> None:
        """Poll the instance list until cancelled.

        The latest list stays while its service is unavailable.
        """
        while True:
            with contextlib.suppress(PlatformUnavailableError):
                self.replace_instances(await instance_list.fetch())
            await trio.sleep(poll_s)
