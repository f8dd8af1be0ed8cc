"""standins.control_fleet: control parts of many processes inside one.

Each process has its own loopback address and real sockets; the platform's
services are in memory. Messages can be lost by a seeded generator.
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
from briarrill.state.configuration_cache import ConfigurationCache
from briarrill.state.contracts import (
    Configuration,
    Contract,
    Policy,
    hash_api_key,
)
from briarrill.state.settings import InstanceSettings, PortSettings
from briarrill.transport.instance_list import Instance, InstanceList, Role

from .memory_key_value import MemoryKeyValue

__all__ = ('ControlFleet', 'ControlNode', 'FixedList', 'open_control_fleet')

PORTS = PortSettings()
POLL_S = 0.2
PORT_POLL_S = 0.02
HOSTS_PER_NETWORK = 250
REGIONS = 2


class FixedList(InstanceList):
    """An instance list in memory."""

    def __init__(self) -> None:
        """Start empty."""
        self.instances: dict[str, Instance] = {}
        self.down = False

    async def fetch(self) -> tuple[Instance, ...]:
        """Return all instances."""
        await trio.lowlevel.checkpoint()
        if self.down:
            raise PlatformUnavailableError('instance list is down')
        return tuple(self.instances.values())


@attrs.define
class Traffic:
    """What the processes sent, and what is lost of it.

    :param loss: part of the requests, and of the replies, that is lost.
    """

    rng: random.Random
    loss: float = 0.0
    requests: int = 0


class LossyCaller(RpcCaller):
    """Loses requests and replies.

    :param pool: sends what is not lost.
    """

    def __init__(self, pool: RpcPool, traffic: Traffic) -> None:
        """Share the traffic with the other processes."""
        self.pool = pool
        self._traffic = traffic

    async def call(
        self,
        host: str,
        port: int,
        request: Message,
        timeout_s: float = 2.0,
    ) -> Message:
        """Send a request to a peer by address and return the reply."""
        await self._lose(timeout_s)
        self._traffic.requests += 1
        reply = await self.pool.call(host, port, request, timeout_s)
        await self._lose(timeout_s)
        return reply

    async def _lose(self, timeout_s: float) -> None:
        if self._traffic.rng.random() < self._traffic.loss:
            await trio.sleep(timeout_s)
            raise PeerUnreachableError('lost')


def _is_free(host: str, port: int) -> bool:
    """Tell whether a port can be bound; ZeroMQ frees it with a delay."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True


@attrs.define(eq=False)
class ControlNode:
    """The control part of one process."""

    control: Control
    pool: RpcPool
    stopped: trio.Event = attrs.field(factory=trio.Event)
    scope: trio.CancelScope = attrs.field(factory=trio.CancelScope)

    @property
    def version(self) -> int:
        """Return the version in force."""
        return self.control.config_holder.version

    async def stop(self) -> None:
        """End the process at once."""
        self.scope.cancel()
        await self.stopped.wait()
        host, port = self.control.instance.host, PORTS.sidecar_control
        while not _is_free(host, port):
            await trio.sleep(PORT_POLL_S)


class ControlFleet:
    """Processes that share the platform's services in memory.

    :param network: first two numbers of the loopback addresses and the
        first of the third ones, such as ``127.159.0``.
    """

    def __init__(
        self, network: str, domains: int, seed: int, nursery: trio.Nursery
    ) -> None:
        """Start without processes."""
        self.key_value = MemoryKeyValue()
        self.listed = FixedList()
        self.traffic = Traffic(random.Random(seed))
        self.nodes: dict[int, ControlNode] = {}
        self._network = network
        self._domains = domains
        self._nursery = nursery
        self._numbers = itertools.count()

    def instance(self, number: int) -> Instance:
        """Return an instance, spread over failure domains and regions."""
        head, _, third = self._network.rpartition('.')
        third = str(int(third) + number // HOSTS_PER_NETWORK)
        domain = number % self._domains
        return Instance(
            name=f'node-{number}',
            host=f'{head}.{third}.{1 + number % HOSTS_PER_NETWORK}',
            failure_domain=f'domain-{domain}',
            region=f'region-{domain % REGIONS}',
            roles=(Role.UPSTREAM,),
        )

    def processes(self) -> list[Process]:
        """Return the listed processes."""
        listed = tuple(self.listed.instances.values())
        return control_processes(listed, PORTS)

    async def add(self, count: int) -> None:
        """List and start processes."""
        numbers = [next(self._numbers) for _ in range(count)]
        for number in numbers:
            listed = self.instance(number)
            self.listed.instances[listed.name] = listed
        for started in numbers:
            await self.start(started)

    async def start(
        self, number: int, config_cache: ConfigurationCache | None = None
    ) -> ControlNode:
        """Start a process of the list, also after it was stopped."""
        node: ControlNode = await self._nursery.start(
            self._run, number, config_cache
        )
        return node

    async def accept(self, weight: float, contracts: int = 1) -> int:
        """Accept a version without handing it to a peer; return it."""
        raw, _ = await read_head(self.key_value)
        raw = await accept_version(
            self.key_value,
            make_configuration(weight, contracts),
            decode_config_record(raw).version if raw else 0,
            author='test',
            created_at=0,
        )
        return decode_config_record(raw).version

    async def wait_version(self, version: int) -> None:
        """Wait until all running processes have a version."""
        for node in list(self.nodes.values()):
            await node.control.config_holder.wait_above(version - 1)

    async def _run(
        self,
        number: int,
        config_cache: ConfigurationCache | None,
        task_status: trio.TaskStatus[ControlNode],
    ) -> None:
        listed = self.instance(number)
        async with open_rpc_pool() as pool:
            control = Control(
                instance=InstanceSettings(
                    name=listed.name,
                    host=listed.host,
                    failure_domain=listed.failure_domain,
                    region=listed.region,
                ),
                role=Role.UPSTREAM,
                ports=PORTS,
                platform=Platform(self.key_value, self.listed),
                readiness=Readiness(),
                caller=LossyCaller(pool, self.traffic),
                config_cache=config_cache,
            )
            node = ControlNode(control, pool)
            try:
                with node.scope:
                    await self._run_node(number, node, task_status)
            finally:
                self.nodes.pop(number, None)
                node.stopped.set()

    async def _run_node(
        self,
        number: int,
        node: ControlNode,
        task_status: trio.TaskStatus[ControlNode],
    ) -> None:
        async with trio.open_nursery() as nursery:
            await node.control.start(nursery, POLL_S)
            self.nodes[number] = node
            task_status.started(node)


def make_configuration(weight: float, contracts: int) -> Configuration:
    """Return a configuration of a size; the weight tells versions apart."""
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
    network: str, *, domains: int = 3, seed: int = 1
) -> AsyncIterator[ControlFleet]:
    """Open a fleet without processes; stop them on exit."""
    async with trio.open_nursery() as nursery:
        yield ControlFleet(network, domains, seed, nursery)
        nursery.cancel_scope.cancel()
