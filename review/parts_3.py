"""review.parts_3: small parts that the scripts of the third review share.

A script runs the project's entry and batch processes with the commands of the
deploy file, beside the project's own stand-in store and engines, which run in
the script's process. All addresses are loopback addresses.
"""

import contextlib
import json
import os
import pathlib
import random
import resource
import socket
import subprocess
import sys
import tempfile
import time

import trio

from briarrill.transport.http_callers import serve_callers
from briarrill.transport.http_channel import connect
from briarrill.transport.http_messages import RequestHead
from standins.platform_store import StandinStore

REPOSITORY = pathlib.Path(__file__).resolve().parent.parent

STORE_PORT = 8142
FRONT_PORT = 8144
READY_PORT = 8140
CONTROL_PORT = 8146
PEER_PORT = 7660
ENGINE_PORT = 8080

# those of a machine with the most on the small sheets
MAX_DESCRIPTORS = 8200

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2

# the fields of the settings file that DEPLOY.md shows, for one machine
SETTINGS = """
node_name = "{name}"
role = "{program}"
machine_class = "{machine_class}"
serves = [{serves}]
ip = "{host}"
zone = "{zone}"
region = "lutruwita"
internal_port_range = [7660, 7675]
seed_nodes = [{seeds}]
bootstrap = true
fault_counted = {counted}
{data_dir}
[listen_addrs]
{listen}
[limits]
cpu_share = 0.817
cpu_cores = 1
memory_mb = {memory_mb}
max_fds = {max_fds}
[contract_params]
contact_ms = 3000
ack_ms = 4000
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
completion_window_s = 18
retention_s = 120
cancel_ms = 3000
settle_ms = 1000
quota_overage = 0.1
[platform]
address = "{store}:8142"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


def has_trouble():
    """Tell whether the script is to play its disruption."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """What was sent, answered and run, with times, in ``record.txt``."""

    def __init__(self, folder):
        self._stream = (folder / 'record.txt').open('w', encoding='utf-8')
        self._began_at = time.monotonic()

    def add(self, text):
        """Write a line."""
        after_s = time.monotonic() - self._began_at
        self._stream.write(f'{after_s:8.3f} {text}\n')
        self._stream.flush()

    def close(self):
        """Close the file."""
        self._stream.close()


class Machine:
    """One machine with an entry or a batch process."""

    def __init__(self, fleet, program, number, zone, **limits):
        self.fleet = fleet
        self.program = program
        self.number = number
        self.zone = zone
        self.name = f'{program}-{number}'
        self.host = fleet.host(number)
        self.limits = {'memory_mb': 300, 'max_fds': 4100, **limits}
        self.log_path = fleet.folder / f'{self.name}.log'
        self.process = None

    def start(self):
        """Start the process with the command of the deploy file."""
        path = self.fleet.folder / f'{self.name}.toml'
        path.write_text(self._settings(), encoding='utf-8')
        env = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        env['BRIARRILL_CONFIG'] = str(path)
        env['PYTHONPATH'] = str(REPOSITORY / 'target/deps')
        with self.log_path.open('ab') as log_file:
            self.process = subprocess.Popen(
                [sys.executable, '-m', 'briarrill.platform', self.program],
                cwd=REPOSITORY,
                env=env,
                stdout=log_file,
                stderr=log_file,
            )

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def end(self):
        """Kill the process and wait for it."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    def memory_mb(self):
        """Return the memory that the process has now, nothing if it ended."""
        return self._status_mb('VmRSS')

    def peak_mb(self):
        """Return the most memory that the process had so far."""
        return self._status_mb('VmHWM')

    def _status_mb(self, field):
        path = pathlib.Path(f'/proc/{self.process.pid}/status')
        with contextlib.suppress(OSError):
            for line in path.read_text(encoding='utf-8').splitlines():
                if line.startswith(f'{field}:'):
                    return int(line.split()[1]) * 1024 / 1_000_000
        return None

    def _settings(self):
        is_entry = self.program == 'entry'
        listen = f'control_plane = "{self.host}:{CONTROL_PORT}"\n'
        if is_entry:
            listen += f'front_http = "{self.host}:{FRONT_PORT}"\n'
            listen += f'ready = "{self.host}:{READY_PORT}"\n'
        data_dir = self.fleet.folder / f'{self.name}.data'
        return SETTINGS.format(
            name=self.name,
            program=self.program,
            machine_class='edge' if is_entry else 'storage',
            serves='"edge", "control"' if is_entry else '"storage"',
            host=self.host,
            zone=self.zone,
            seeds=', '.join(
                f'"{self.fleet.host(number)}:{CONTROL_PORT}"'
                for number in self.fleet.seeds
            ),
            counted='false' if is_entry else 'true',
            data_dir='' if is_entry else f'data_dir = "{data_dir}"',
            listen=listen,
            store=self.fleet.host(1),
            **self.limits,
        )


class Fleet:
    """Machines beside one store, on one network of loopback addresses."""

    def __init__(self, folder, seeds=()):
        self.folder = folder
        self.network = _free_network()
        self.seeds = seeds
        self.store = StandinStore()
        self.machines = []

    def host(self, number):
        """Return an address of the network."""
        return f'{self.network}.{number}'

    def add(self, program, number, zone, **limits):
        """Add a machine; it is not started yet."""
        machine = Machine(self, program, number, zone, **limits)
        self.machines.append(machine)
        return machine

    def configure(self, configuration):
        """Write a configuration as the operator does."""
        self.store.put('op/config', json.dumps(configuration).encode())

    def register(self, runner_id, number, zone, service='llm', **fields):
        """Write what a runner says of itself."""
        registration = {
            'service': service,
            'address': f'{self.host(number)}:{ENGINE_PORT}',
            'zone': zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'call_seq': 0,
            'born': 1_700_000_000_000 + number,
            **fields,
        }
        self.store.put(
            f'servers/{runner_id}', json.dumps(registration).encode()
        )

    @contextlib.asynccontextmanager
    async def serving(self, servers):
        """Serve the store, and stand-ins by the number of their address."""
        async with contextlib.AsyncExitStack() as stack:
            listeners = [(1, STORE_PORT, self.store)] + [
                (number, ENGINE_PORT, server)
                for number, server in servers.items()
            ]
            for number, port, server in listeners:
                await stack.enter_async_context(
                    serve_callers(
                        (self.host(number), port),
                        server.caller_limits,
                        server.serve,
                    )
                )
            try:
                yield
            finally:
                for machine in self.machines:
                    machine.end()

    async def wait_ready(self):
        """Wait until all entries say that they are ready."""
        for machine in self.machines:
            if machine.program == 'entry':
                await _wait_ready(machine.host)

    async def wait_ready_at(self, machine):
        """Wait until one entry says that it is ready."""
        await _wait_ready(machine.host)


async def call(host, method, target, headers, body=b'', limit_s=5.0):
    """Send one request on a new channel; return status, headers and body.

    :return: status 0 if there was no answer.
    """
    fields = {'host': 'h', **headers, 'content-length': str(len(body))}
    head = RequestHead(
        method.encode(),
        target.encode(),
        tuple((name.encode(), text.encode()) for name, text in fields.items()),
    )
    try:
        with trio.fail_after(limit_s):
            channel = await connect((host, FRONT_PORT), 1)
            try:
                async with channel.exchange(head, body):
                    answer = await channel.read_head()
                    text = await channel.read_full_body(4_000_000)
                    return answer.status, dict(answer.headers), text
            finally:
                channel.close()
    except Exception as exc:  # no answer, whatever the reason
        return 0, {}, repr(exc).encode()


def allow_descriptors(count):
    """Let this process and those that it starts open so many descriptors.

    A machine of the sheets allows them; a shell may allow fewer.
    """
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < count and (hard == resource.RLIM_INFINITY or hard > soft):
        allowed = count if hard == resource.RLIM_INFINITY else min(count, hard)
        resource.setrlimit(resource.RLIMIT_NOFILE, (allowed, hard))


def run_script(folder, play, limit_s=110):
    """Play a script; exit with 1 if the rule was broken, 0 if it held.

    :param play: coroutine function of a folder for files and a record; it
        returns whether the rule held.
    """
    record = Record(folder)
    code = EXIT_NOT_RUN
    allow_descriptors(MAX_DESCRIPTORS)
    try:
        with tempfile.TemporaryDirectory() as name:
            held = trio.run(_play, play, pathlib.Path(name), record, limit_s)
        code = EXIT_HELD if held else EXIT_BROKEN
    except Exception as exc:  # the case could not run
        record.add(f'the case could not run: {exc!r}')
    record.add(f'exit code {code}')
    record.close()
    sys.exit(code)


async def _play(play, folder, record, limit_s):
    with trio.fail_after(limit_s):
        return await play(folder, record)


async def _wait_ready(host):
    head = RequestHead(b'GET', b'/ready', ((b'host', b'h'),))
    while True:
        with contextlib.suppress(Exception):
            channel = await connect((host, READY_PORT), 1)
            try:
                async with channel.exchange(head, b''):
                    answer = await channel.read_head()
            finally:
                channel.close()
            if answer.status == 200:
                return
        await trio.sleep(0.05)


def _free_network():
    """Return a network of loopback addresses whose ports are free.

    The tests use second numbers from 100 on.
    """
    while True:
        network = f'127.{random.randint(20, 99)}.{random.randint(1, 250)}'
        with contextlib.suppress(OSError):
            for number, port in ((1, STORE_PORT), (2, FRONT_PORT)):
                with socket.socket() as probe:
                    probe.bind((f'{network}.{number}', port))
            return network
