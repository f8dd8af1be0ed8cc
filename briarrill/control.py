"""briarrill.control: the control part that every daemon runs.

Follows the instance list and the configuration, and answers peers and
operators on the control port.
"""

from collections.abc import Callable

import attrs
import trio

from .coordination.acceptance import read_head
from .coordination.configuration import ConfigHolder, Peer
from .coordination.neighbours import (
    Process,
    choose_neighbours,
    choose_watchers,
)
from .coordination.spread import Spread
from .coordination.watchers import watch_configuration
from .errors import BriarrillError, ConfigurationError
from .protocol.messages import (
    ConfigDigest,
    ConfigPush,
    Drain,
    LoadReport,
    Message,
    Ok,
    Status,
    StatusRequest,
)
from .protocol.rpc import HandlerTable, RpcCaller, serve_rpc
from .readiness import Readiness
from .runtime import Platform
from .state.config_file import ConfigFile
from .state.membership import Membership
from .state.settings import InstanceSettings, PortSettings
from .transport.instance_list import Instance, Role

__all__ = ('Control', 'control_peers', 'control_processes')

# seconds between looks at the clock, to notice a freeze
TICK_S = 0.5

# failure domains that a new process hears when the service does not answer
FIRST_DOMAINS = 2

# a process that finds no peer and no service goes on with the version of
# its data folder after this time
FIRST_VERSION_S = 5.0
FIRST_PAUSE_S = 0.2
MAX_FIRST_PAUSE_S = 2.0


def control_processes(
    instances: tuple[Instance, ...], ports: PortSettings
) -> list[Process]:
    """Return all processes on the instances."""
    port_by_role = {
        Role.ENTRY: ports.entry_control,
        Role.BATCH: ports.batch_control,
        Role.UPSTREAM: ports.sidecar_control,
    }
    return [
        Process(
            peer=Peer(instance.host, port_by_role[role]),
            role=role,
            failure_domain=instance.failure_domain,
            region=instance.region,
        )
        for instance in instances
        for role in instance.roles
    ]


def control_peers(
    instances: tuple[Instance, ...], ports: PortSettings
) -> list[Peer]:
    """Return the control addresses of all processes on the instances."""
    return [process.peer for process in control_processes(instances, ports)]


def _no_load() -> LoadReport:
    return LoadReport()


@attrs.define
class Control:
    """Configuration, membership and operators' requests of one process.

    :param role: which of the instance's processes this is.
    :param load: returns the load to report, default none.
    :param extra_handlers: answers to messages of this binary only.
    """

    instance: InstanceSettings
    role: Role
    ports: PortSettings
    platform: Platform
    readiness: Readiness
    caller: RpcCaller
    holder: ConfigHolder = attrs.field(factory=ConfigHolder)
    membership: Membership = attrs.field(factory=Membership)
    load: Callable[[], LoadReport] = _no_load
    config_file: ConfigFile | None = None
    extra_handlers: HandlerTable = attrs.field(factory=dict)
    _spread: Spread = attrs.field(init=False)
    _has_first: trio.Event = attrs.field(factory=trio.Event, init=False)

    def __attrs_post_init__(self) -> None:
        """Make the parts that follow from the others."""
        self._spread = Spread(self._own.name, self.holder, self.caller)

    @property
    def neighbours(self) -> tuple[Process, ...]:
        """Return the processes that versions are exchanged with."""
        return self._spread.neighbours

    async def start(self, nursery: trio.Nursery, poll_s: float) -> None:
        """Listen and follow the platform; return when listening."""
        own = self._own.peer
        handlers: HandlerTable = {
            ConfigPush: self.holder.answer_push,
            ConfigDigest: self.holder.answer_digest,
            StatusRequest: self._answer_status,
            Drain: self._answer_drain,
            **self.extra_handlers,
        }
        await nursery.start(serve_rpc, own.host, own.port, handlers)
        nursery.start_soon(
            self.membership.follow, self.platform.instance_list, poll_s
        )
        nursery.start_soon(self._follow_membership)
        nursery.start_soon(self._spread.run)
        nursery.start_soon(self._run_configured)

    async def wait_configured(self) -> None:
        """Wait until a configuration is in force that peers confirmed."""
        await self._has_first.wait()

    @property
    def _own(self) -> Process:
        own = Instance(
            name=self.instance.name,
            host=self.instance.host,
            failure_domain=self.instance.failure_domain,
            region=self.instance.region,
            roles=(self.role,),
        )
        return control_processes((own,), self.ports)[0]

    def _processes(self) -> list[Process]:
        listed = control_processes(self.membership.instances, self.ports)
        own = self._own
        return listed if own in listed else [*listed, own]

    async def _follow_membership(self) -> None:
        """Choose neighbours and watchers anew when the list changes."""
        watching = trio.CancelScope()
        watching.cancel()
        async with trio.open_nursery() as nursery:
            while True:
                processes = self._processes()
                chosen = choose_neighbours(self._own, processes)
                self._spread.take_neighbours(tuple(chosen))
                if self._own not in choose_watchers(processes):
                    watching.cancel()
                elif watching.cancel_called and self.membership.instances:
                    watching = trio.CancelScope()
                    nursery.start_soon(self._watch, watching)
                await self.membership.wait_changed()

    async def _watch(self, scope: trio.CancelScope) -> None:
        with scope:
            await watch_configuration(self.platform.key_value, self.holder)

    async def _run_configured(self) -> None:
        """Take the first version, then notice freezes until cancelled."""
        self._load_file()
        with trio.move_on_after(FIRST_VERSION_S):
            await self._ask_first()
        await self.holder.wait_above(0)
        self._has_first.set()
        self.holder.mark_current()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._keep_file)
            while True:
                await trio.sleep(TICK_S)
                if self.holder.was_frozen:
                    await self._spread.exchange_all()
                self.holder.mark_current()

    def _load_file(self) -> None:
        if self.config_file is None:
            return
        raw = self.config_file.load()
        if raw:
            try:
                self.holder.take(raw)
            except ConfigurationError:
                return

    async def _ask_first(self) -> None:
        """Ask peers and the service until enough of them answered."""
        pause_s = FIRST_PAUSE_S
        while True:
            domains = await self._spread.exchange_all()
            is_known = await self._read_from_service()
            is_known = is_known or len(domains) >= FIRST_DOMAINS
            if is_known and self.holder.version:
                return
            await trio.sleep(pause_s)
            pause_s = min(MAX_FIRST_PAUSE_S, pause_s * 2)

    async def _read_from_service(self) -> bool:
        """Return whether the service answered."""
        try:
            raw, _ = await read_head(self.platform.key_value)
            if raw:
                self.holder.take(raw)
        except BriarrillError:
            return False
        return True

    async def _keep_file(self) -> None:
        """Save each version to the data folder."""
        saved = 0
        while self.config_file is not None:
            await self.holder.wait_above(saved)
            saved = self.holder.version
            await trio.to_thread.run_sync(
                self.config_file.save, self.holder.raw
            )

    async def _answer_status(self, _request: StatusRequest) -> Message:
        return Status(
            process=self.instance.name,
            role=self.role.value,
            failure_domain=self.instance.failure_domain,
            config_version=self.holder.version,
            ready=self.readiness.is_ready,
            draining=self.readiness.is_draining,
            load=self.load(),
        )

    async def _answer_drain(self, _request: Drain) -> Message:
        self.readiness.begin_drain()
        return Ok()
