"""standins.platform_processes: real processes beside a stand-in store.

Starts ``python -m briarrill.platform`` on loopback addresses, writes the keys
that it reads from the store, and sends requests to it.
"""

import contextlib
import json
import os
import pathlib
import subprocess
import sys
from typing import Any

import attrs
import trio

from briarrill.transport.http_channel import connect
from briarrill.transport.http_messages import RequestHead

from .platform_store import StandinStore

__all__ = (
    'BORN_MS',
    'FRONT_PORT',
    'PEER_PORT',
    'PlatformProcess',
    'READY_PORT',
    'ROUTES',
    'STORE_PORT',
    'register_upstream',
    'send_request_to',
    'store_routes',
    'wait_ready',
)

STORE_PORT = 8142
FRONT_PORT = 8144
READY_PORT = 8140
PEER_PORT = 7660

BORN_MS = 1_700_000_000_000

SETTINGS = """
node_name = "{process.name}"
ip = "{process.host}"
zone = "a"
data_dir = "{process.data_dir}"
internal_port_range = [{process.peer_port}, {process.last_port}]
seed_nodes = ["{process.network}.2:9999"]
[listen_addrs]
front_http = "{process.host}:8144"
ready = "{process.host}:8140"
[limits]
memory_mb = {process.memory_mb}
max_fds = {process.max_fds}
[contract_params]
grace_s = 6
retention_s = {process.retention_s}
[platform]
address = "{store_host}:8142"
"""

MAX_REPLY_BYTES = 1_000_000

ROUTES: dict[str, Any] = {
    'version': 3,
    'routes': [
        {
            'name': 'online',
            'host': 'h',
            'prefix': '/online/',
            'kind': 'streaming',
            'timeout_ms': 5000,
            'target_latency_ms': 300,
            'service': 'llm',
            'max_attempts': 1,
        },
        {
            'name': 'jobs',
            'host': 'h',
            'prefix': '/jobs/',
            'kind': 'batch',
            'timeout_ms': 5000,
            'target_latency_ms': 400,
            'completion_target_ms': 18000,
            'keep_s': 60,
            'max_queued_tokens': 1000,
            'max_attempts': 2,
            'service': 'llm',
        },
    ],
}


async def send_request_to(
    address: tuple[str, int], head: RequestHead, body: bytes = b''
) -> tuple[int, bytes]:
    """Send a request on a new connection; return status and body."""
    channel = await connect(address, 1)
    try:
        async with channel.exchange(head, body):
            response_head = await channel.read_head()
            return response_head.status, await channel.read_full_body(
                MAX_REPLY_BYTES
            )
    finally:
        channel.close()


@attrs.frozen
class PlatformProcess:
    """An entry or a batch process, and its settings.

    :param folder: where its settings file and its log are.
    :param number: last number of its address.
    :param store_host: default the first of the network.
    :param peer_port: one that reaches only peers that have the same.
    :param data_dir: folder on the local disk, if it has one.
    :param logs_errors: whether its standard error goes to its log as well.
    :param memory_mb: memory of its machine that its settings state.
    :param max_fds: descriptors that its settings state.
    """

    network: str
    folder: pathlib.Path
    program: str
    number: int
    store_host: str | None = None
    peer_port: int = PEER_PORT
    data_dir: str = ''
    retention_s: int = 120
    logs_errors: bool = False
    memory_mb: int = 300
    max_fds: int = 4100

    @property
    def host(self) -> str:
        """The process's address."""
        return f'{self.network}.{self.number}'

    @property
    def name(self) -> str:
        """The process's name."""
        return f'{self.program}-{self.number}'

    @property
    def last_port(self) -> int:
        """The last one of its ports towards peers."""
        return self.peer_port + 9

    @property
    def log_path(self) -> pathlib.Path:
        """The file with its log lines, of all of its starts."""
        return self.folder / f'{self.name}.log'

    async def start(self) -> trio.Process:
        """Start the process."""
        path = self.folder / f'{self.name}.toml'
        path.write_text(self._settings_text(), encoding='utf-8')
        with self.log_path.open('ab') as log_file:
            return await trio.lowlevel.open_process(
                [sys.executable, '-m', 'briarrill.platform', self.program],
                env={**os.environ, 'BRIARRILL_CONFIG': str(path)},
                stdout=log_file,
                stderr=subprocess.STDOUT if self.logs_errors else None,
            )

    def _settings_text(self) -> str:
        store_host = self.store_host or f'{self.network}.1'
        return SETTINGS.format(process=self, store_host=store_host)


def store_routes(store: StandinStore) -> None:
    """Write the configuration with the routes of a stream and of jobs."""
    store.put('op/config', json.dumps(ROUTES).encode())


def register_upstream(
    store: StandinStore,
    upstream_id: str,
    host: str,
    start: int = 0,
    version: str = 'v1',
    service: str = 'llm',
) -> None:
    """Register an upstream of four slots.

    :param start: number that tells its starts apart.
    """
    registration = {
        'service': service,
        'address': f'{host}:8080',
        'zone': 'a',
        'version': version,
        'slots': 4,
        'state': 'ready',
        'born': BORN_MS + start,
    }
    store.put(f'servers/{upstream_id}', json.dumps(registration).encode())


async def wait_ready(host: str) -> None:
    """Wait until a process says that it is ready."""
    head = RequestHead(b'GET', b'/ready', ((b'host', b'h'),))
    while True:
        with contextlib.suppress(Exception):
            status, _ = await send_request_to((host, READY_PORT), head)
            if status == 200:
                return
        await trio.sleep(0.05)
