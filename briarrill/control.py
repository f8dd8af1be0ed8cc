"""briarrill.control: control plane of every process.

Follows the instance list and the configuration, and serves peers and
operators on the control port.
"""

from collections.abc import Callable

import attrs
import trio

from .coordination.acceptance import read_head
from .coordination.configuration import ConfigHolder, Peer
from .coordination.gossip import ConfigurationGossip
from .coordination.neighbours import (
    Process,
    choose_neighbours,
    choose_watchers,
)
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
from .protocol.rpc import RequestHandlers, RpcCaller, serve_rpc
from .readiness import Readiness
from .runtime import Platform
from .state.configuration_cache import ConfigurationCache
from .state.membership import Membership
from .state.settings import InstanceSettings, PortSettings
from .transport.instance_list import Instance, Role

__all__ = ('Control', 'control_peers', 'control_processes')

# interval of the check whether the process was paused
PAUSE_CHECK_INTERVAL_S = 0.5

# failure domains whose reply a new process needs when the key-value service
# does not reply
MIN_CONFIRMING_DOMAINS = 2

# time after which a process that reaches neither peers nor the key-value
# service starts with the version saved in its data folder
FIRST_VERSION_TIMEOUT_S = 5.0

# delay between attempts to fetch the first version, doubled up to the maximum
MIN_FETCH_DELAY_S = 0.2
MAX_FETCH_DELAY_S = 2.0


def control_processes(
    instances: tuple[Instance, ...], ports: PortSettings
) -> list[Process]:
    """Return the processes on the instances, one for each role."""
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


def _empty_load() -> LoadReport:
    return LoadReport()


@attrs.define
class Control:
    """Control plane of one process: configuration, membership, control port.

    :param role: role of this process on its instance.
    :param report_load: returns the load for a ``Status``, default no load.
    :param config_cache: stores the record for the next start, default none.
    :param extra_handlers: handlers of messages that only this binary serves.
    """

    instance: InstanceSettings
    role: Role
    ports: PortSettings
    platform: Platform
    readiness: Readiness
    caller: RpcCaller
    config_holder: ConfigHolder = attrs.field(factory=ConfigHolder)
    membership: Membership = attrs.field(factory=Membership)
    report_load: Callable[[], LoadReport] = _empty_load
    config_cache: ConfigurationCache | None = None
    extra_handlers: RequestHandlers = attrs.field(factory=dict)
    _gossip: ConfigurationGossip = attrs.field(init=False)
    _has_configuration: trio.Event = attrs.field(
        factory=trio.Event, init=False
    )

    def __attrs_post_init__(self) -> None:
        """Create the exchange of versions with neighbours."""
        self._gossip = ConfigurationGossip(
            self._own_process.name, self.config_holder, self.caller
        )

    @property
    def neighbours(self) -> tuple[Process, ...]:
        """Processes that exchange configuration versions with this one."""
        return self._gossip.neighbours

    async def start(self, nursery: trio.Nursery, poll_s: float) -> None:
        """Start the tasks of the control plane; return when it listens.

        :param poll_s: interval of polls of the instance list.
        """
        own = self._own_process.peer
        handlers: RequestHandlers = {
            ConfigPush: self.config_holder.handle_push,
            ConfigDigest: self.config_holder.handle_digest,
            StatusRequest: self._handle_status,
            Drain: self._handle_drain,
            **self.extra_handlers,
        }
        await nursery.start(serve_rpc, own.host, own.port, handlers)
        nursery.start_soon(
            self.membership.poll_instance_list,
            self.platform.instance_list,
            poll_s,
        )
        nursery.start_soon(self._follow_membership)
        nursery.start_soon(self._gossip.run)
        nursery.start_soon(self._run_configuration)

    async def wait_configured(self) -> None:
        """Wait for a configuration in force.

        For ``FIRST_VERSION_TIMEOUT_S`` it must be confirmed by peers or by
        the key-value service; later any received or saved one is accepted.
        """
        await self._has_configuration.wait()

    @property
    def _own_process(self) -> Process:
        own = Instance(
            name=self.instance.name,
            host=self.instance.host,
            failure_domain=self.instance.failure_domain,
            region=self.instance.region,
            roles=(self.role,),
        )
        return control_processes((own,), self.ports)[0]

    def _listed_processes(self) -> list[Process]:
        """Return the listed processes and, if it is missing, this one."""
        listed = control_processes(self.membership.instances, self.ports)
        own = self._own_process
        return listed if own in listed else [*listed, own]

    async def _follow_membership(self) -> None:
        """Choose neighbours and watchers again when the list changes.

        A process that is chosen as watcher watches the configuration in the
        key-value service until it is no longer chosen.
        """
        watching = trio.CancelScope()
        watching.cancel()
        async with trio.open_nursery() as nursery:
            while True:
                processes = self._listed_processes()
                chosen = choose_neighbours(self._own_process, processes)
                self._gossip.replace_neighbours(tuple(chosen))
                if self._own_process not in choose_watchers(processes):
                    watching.cancel()
                elif watching.cancel_called and self.membership.instances:
                    watching = trio.CancelScope()
                    nursery.start_soon(self._watch, watching)
                await self.membership.wait_changed()

    async def _watch(self, scope: trio.CancelScope) -> None:
        """Watch the configuration until the scope is cancelled."""
        with scope:
            await watch_configuration(
                self.platform.key_value, self.config_holder
            )

    async def _run_configuration(self) -> None:
        """Obtain the first version, then detect pauses until cancelled.

        After a pause, versions are exchanged with all neighbours, since the
        process may have missed some.
        """
        self._load_saved_version()
        with trio.move_on_after(FIRST_VERSION_TIMEOUT_S):
            await self._fetch_first_version()
        await self.config_holder.wait_above(0)
        self._has_configuration.set()
        self.config_holder.mark_up_to_date()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._save_versions)
            while True:
                await trio.sleep(PAUSE_CHECK_INTERVAL_S)
                if self.config_holder.was_paused:
                    await self._gossip.exchange_all()
                self.config_holder.mark_up_to_date()

    def _load_saved_version(self) -> None:
        """Put the saved version in force, if there is a valid one."""
        if self.config_cache is None:
            return
        raw = self.config_cache.load()
        if raw:
            try:
                self.config_holder.apply(raw)
            except ConfigurationError:
                return

    async def _fetch_first_version(self) -> None:
        """Fetch versions until one is confirmed.

        Either the key-value service or neighbours in
        ``MIN_CONFIRMING_DOMAINS`` failure domains must reply.
        """
        delay_s = MIN_FETCH_DELAY_S
        while True:
            domains = await self._gossip.exchange_all()
            is_confirmed = await self._apply_newest_version()
            is_confirmed = (
                is_confirmed or len(domains) >= MIN_CONFIRMING_DOMAINS
            )
            if is_confirmed and self.config_holder.version:
                return
            await trio.sleep(delay_s)
            delay_s = min(MAX_FETCH_DELAY_S, delay_s * 2)

    async def _apply_newest_version(self) -> bool:
        """Apply the newest version of the key-value service.

        :return: whether the service returned a valid version or none.
        """
        try:
            raw, _ = await read_head(self.platform.key_value)
            if raw:
                self.config_holder.apply(raw)
        except BriarrillError:
            return False
        return True

    async def _save_versions(self) -> None:
        """Save each version in force to the data folder."""
        saved_version = 0
        while self.config_cache is not None:
            await self.config_holder.wait_above(saved_version)
            saved_version = self.config_holder.version
            await trio.to_thread.run_sync(
                self.config_cache.save, self.config_holder.raw
            )

    async def _handle_status(self, _request: StatusRequest) -> Message:
        return Status(
            process=self.instance.name,
            role=self.role.value,
            failure_domain=self.instance.failure_domain,
            config_version=self.config_holder.version,
            ready=self.readiness.is_ready,
            draining=self.readiness.is_draining,
            load=self.report_load(),
        )

    async def _handle_drain(self, _request: Drain) -> Message:
        self.readiness.begin_drain()
        return Ok()
