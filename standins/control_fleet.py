"""standins.control_fleet: the control of many processes in one interpreter.

Each simulated process has a loopback address of its own and real sockets;
the platform's services are in memory. A seeded generator chooses the
messages that are lost.
"""

import contextlib
import itertools
import random
import socket
from collections.abc import AsyncIterator

import attrs
import trio

from briarrill.control import Control, control_processes
from briarrill.coordination.acceptance import accept_version, read_head
from briarrill.coordination.configuration import decode_config_record
from briarrill.coordination.neighbours import Process
from briarrill.errors import PeerUnreachableError, PlatformUnavailableError
from briarrill.protocol.messages import Message
from briarrill.protocol.rpc import RpcCaller, RpcPool, open_rpc_pool
from briarrill.readiness import Readiness
from briarrill.runtime import Platform
from briarrill.state.api_keys import hash_api_key
from briarrill.state.configuration_cache import ConfigurationCache
from briarrill.state.contracts import (
    Configuration,
    Contract,
    Policy,
)
from briarrill.state.settings import InstanceSettings, PortSettings
from briarrill.transport.instance_list import Instance, InstanceList, Role

from .memory_key_value import MemoryKeyValue

__all__ = (
    'ControlFleet',
    'ControlProcess',
    'MemoryInstanceList',
    'open_control_fleet',
)

PORTS = PortSettings()
INSTANCE_POLL_S = 0.2
PORT_RELEASE_POLL_S = 0.02
ADDRESSES_PER_NETWORK = 250
REGION_COUNT = 2


class MemoryInstanceList(InstanceList):
    """Instance list in memory, written by tests.

    :ivar instances: the listed instances by name.
    :ivar is_down: whether :meth:`fetch` raises.
    """

    def __init__(self) -> None:
        """Start without instances."""
        self.instances: dict[str, Instance] = {}
        self.is_down = False

    async def fetch(self) -> tuple[Instance, ...]:
        """Return all instances.

        :raises PlatformUnavailableError: ``is_down`` is set.
        """
        await trio.lowlevel.checkpoint()
        if self.is_down:
            raise PlatformUnavailableError('instance list is down')
        return tuple(self.instances.values())


@attrs.define
class Traffic:
    """Message loss and the number of sent requests, of all processes.

    :param rng: chooses the messages that are lost.
    :param loss: share of the requests, and of the replies, that is lost.
    :param requests: number of requests that were not lost.
    """

    rng: random.Random
    loss: float = 0.0
    requests: int = 0


class LossyCaller(RpcCaller):
    """RPC caller that loses a share of the requests and of the replies.

    :param pool: sends the requests that are not lost.
    :param traffic: share of lost messages, and the counter of requests.
    """

    def __init__(self, pool: RpcPool, traffic: Traffic) -> None:
        """Store the pool and the traffic that all processes share."""
        self.pool = pool
        self._traffic = traffic

    async def call(
        self,
        host: str,
        port: int,
        request: Message,
        timeout_s: float = 2.0,
    ) -> Message:
        """Send a request to a peer and return the reply.

        :raises PeerUnreachableError: the request or reply was lost, after
            the timeout.
        """
        await self._inject_loss(timeout_s)
        self._traffic.requests += 1
        reply = await self.pool.call(host, port, request, timeout_s)
        await self._inject_loss(timeout_s)
        return reply

    async def _inject_loss(self, timeout_s: float) -> None:
        """Raise after the timeout, with the probability of a loss."""
        if self._traffic.rng.random() < self._traffic.loss:
            await trio.sleep(timeout_s)
            raise PeerUnreachableError('injected fault: message lost')


def _is_port_free(host: str, port: int) -> bool:
    """Return whether a port can be bound; ZeroMQ releases it late."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


@attrs.define(eq=False)
class ControlProcess:
    """The control of one simulated process.

    :param stopped: set after the process has ended.
    :param scope: cancelled to end the process.
    """

    control: Control
    pool: RpcPool
    stopped: trio.Event = attrs.field(factory=trio.Event)
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    @property
    def version(self) -> int:
        """Return the version of the configuration in force."""
        return self.control.config_holder.version

    async def stop(self) -> None:
        """End the process at once and wait until its port is free."""
        self.scope.cancel()
        await self.stopped.wait()
        host, port = self.control.instance.host, PORTS.sidecar_control
        while not _is_port_free(host, port):
            await trio.sleep(PORT_RELEASE_POLL_S)


class ControlFleet:
    """Simulated processes with the platform's services in memory.

    :param network: start of the loopback addresses, such as ``127.159.0``;
        the third number grows every ``ADDRESSES_PER_NETWORK`` processes.
    :param domain_count: number of failure domains.
    :param seed: seed of the lost messages.
    :param nursery: runs the processes.
    :ivar running: the running processes by number.
    """

    def __init__(
        self, network: str, domain_count: int, seed: int, nursery: trio.Nursery
    ) -> None:
        """Prepare the services; :meth:`add` starts processes."""
        self.key_value = MemoryKeyValue()
        self.instance_list = MemoryInstanceList()
        self.traffic = Traffic(random.Random(seed))
        self.running: dict[int, ControlProcess] = {}
        self._network = network
        self._domain_count = domain_count
        self._nursery = nursery
        self._numbers = itertools.count()

    def instance(self, number: int) -> Instance:
        """Return the instance of a process.

        Failure domains and regions are assigned in turn.
        """
        head, _, third = self._network.rpartition('.')
        third = str(int(third) + number // ADDRESSES_PER_NETWORK)
        domain = number % self._domain_count
        return Instance(
            name=f'node-{number}',
            host=f'{head}.{third}.{1 + number % ADDRESSES_PER_NETWORK}',
            failure_domain=f'domain-{domain}',
            region=f'region-{domain % REGION_COUNT}',
            roles=(Role.UPSTREAM,),
        )

    def processes(self) -> list[Process]:
        """Return the control processes of the listed instances."""
        listed = tuple(self.instance_list.instances.values())
        return control_processes(listed, PORTS)

    async def add(self, count: int) -> None:
        """Add new instances to the list and start their processes."""
        numbers = [next(self._numbers) for _ in range(count)]
        for number in numbers:
            instance = self.instance(number)
            self.instance_list.instances[instance.name] = instance
        for started in numbers:
            await self.start(started)

    async def start(
        self, number: int, config_cache: ConfigurationCache | None = None
    ) -> ControlProcess:
        """Start the process of a listed instance, again after a stop.

        :param config_cache: stores the last configuration across restarts.
        """
        process: ControlProcess = await self._nursery.start(
            self._run_process, number, config_cache
        )
        return process

    async def accept_configuration(
        self, weight: float, contracts: int = 1
    ) -> int:
        """Write a new configuration to the service; return its version.

        The version is not pushed to any process.
        """
        raw, _ = await read_head(self.key_value)
        raw = await accept_version(
            self.key_value,
            make_configuration(weight, contracts),
            decode_config_record(raw).version if raw else 0,
            author='test',
            created_at=0,
        )
        return decode_config_record(raw).version

    async def wait_in_force(self, version: int) -> None:
        """Wait until all running processes have this version or a later."""
        for process in list(self.running.values()):
            await process.control.config_holder.wait_above(version - 1)

    async def _run_process(
        self,
        number: int,
        config_cache: ConfigurationCache | None,
        task_status: trio.TaskStatus[ControlProcess],
    ) -> None:
        instance = self.instance(number)
        async with open_rpc_pool() as pool:
            control = Control(
                instance=InstanceSettings(
                    name=instance.name,
                    host=instance.host,
                    failure_domain=instance.failure_domain,
                    region=instance.region,
                ),
                role=Role.UPSTREAM,
                ports=PORTS,
                platform=Platform(self.key_value, self.instance_list),
                readiness=Readiness(),
                caller=LossyCaller(pool, self.traffic),
                config_cache=config_cache,
            )
            process = ControlProcess(control, pool)
            try:
                with process.scope:
                    await self._run_control(number, process, task_status)
            finally:
                self.running.pop(number, None)
                process.stopped.set()

    async def _run_control(
        self,
        number: int,
        process: ControlProcess,
        task_status: trio.TaskStatus[ControlProcess],
    ) -> None:
        async with trio.open_nursery() as nursery:
            await process.control.start(nursery, INSTANCE_POLL_S)
            self.running[number] = process
            task_status.started(process)


def make_configuration(weight: float, contracts: int) -> Configuration:
    """Return a configuration with this many contracts.

    :param weight: online weight, which distinguishes versions in tests.
    """
    return Configuration(
        contracts={
            f'contract-{number:04d}': Contract(
                api_key_sha256=(hash_api_key(str(number)),)
            )
            for number in range(contracts)
        },
        policy=Policy(online_weight=weight),
    )


@contextlib.asynccontextmanager
async def open_control_fleet(
    network: str, *, domain_count: int = 3, seed: int = 1
) -> AsyncIterator[ControlFleet]:
    """Open a fleet without processes; stop the added ones on exit."""
    async with trio.open_nursery() as nursery:
        yield ControlFleet(network, domain_count, seed, nursery)
        nursery.cancel_scope.cancel()
