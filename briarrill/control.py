"""briarrill.control: the control part that every daemon runs.

Follows the instance list and the configuration, and answers peers and
operators on the control port.
"""

from collections.abc import Callable

import attrs
import trio

from .coordination.configuration import (
    ConfigHolder,
    Peer,
    exchange_with_peers,
    read_head,
)
from .coordination.membership import Membership
from .errors import BriarrillError
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
from .runtime import Platform, Readiness
from .state.settings import InstanceSettings, PortSettings
from .transport.instance_list import Instance, Role

__all__ = ('Control', 'control_peers')

EXCHANGE_INTERVAL_S = 1.0


def control_peers(
    instances: tuple[Instance, ...], ports: PortSettings
) -> list[Peer]:
    """Return the control addresses of all processes on the instances."""
    port_by_role = {
        Role.ENTRY: ports.entry_control,
        Role.BATCH: ports.batch_control,
        Role.UPSTREAM: ports.sidecar_control,
    }
    return [
        Peer(instance.host, port_by_role[role])
        for instance in instances
        for role in instance.roles
    ]


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
    extra_handlers: HandlerTable = attrs.field(factory=dict)

    async def start(self, nursery: trio.Nursery, poll_s: float) -> None:
        """Listen and follow the platform; return when listening."""
        own = self._own_address()
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
        nursery.start_soon(self._follow_configuration)

    async def wait_configured(self) -> None:
        """Wait until a configuration is in force."""
        while not self.holder.version:
            await self.holder.wait_changed()

    def _own_address(self) -> Peer:
        own = Instance(
            name=self.instance.name,
            host=self.instance.host,
            failure_domain=self.instance.failure_domain,
            region=self.instance.region,
            roles=(self.role,),
        )
        return control_peers((own,), self.ports)[0]

    async def _follow_configuration(self) -> None:
        """Exchange versions with peers; read the service while without."""
        own = self._own_address()
        while True:
            if not self.holder.version:
                await self._read_from_service()
            peers = control_peers(self.membership.instances, self.ports)
            await exchange_with_peers(
                self.holder,
                self.instance.name,
                self.caller,
                [peer for peer in peers if peer != own],
            )
            await trio.sleep(EXCHANGE_INTERVAL_S)

    async def _read_from_service(self) -> None:
        try:
            raw, _ = await read_head(self.platform.key_value)
            if raw:
                self.holder.take(raw)
        except BriarrillError:
            return

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
