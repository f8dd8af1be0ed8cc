"""standins.fleet: starts a fleet of real processes on this machine.

Each instance has a loopback address of its own, in place of the IP address
that it has in a deployment, so that all instances use the same ports.
"""

import contextlib
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Iterator
from typing import Any

import attrs
import httpx
import msgspec

__all__ = ('Fleet', 'FleetPlan', 'open_fleet')

KEY_VALUE_PORT = 2379
INSTANCE_LIST_PORT = 8500
WEIGHT_STORE_PORT = 9000
UPSTREAM_PORT = 9100
HTTP_PORT = 8080
METRICS_PORT = 9102
BATCH_METRICS_PORT = 9103

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 20.0
READY_POLL_S = 0.05

REGION = 'lutruwita'


@attrs.frozen
class FleetPlan:
    """Numbers of processes, their addresses and settings.

    :param network: first three numbers of the loopback addresses.
    :param failure_domains: assigned to the instances in turn.
    :param entries: number of entries; a batch process runs beside each.
    :param engines: number of engines, each with a sidecar.
    :param services: number of plain services, each with a sidecar.
    :param slots: slots of each upstream.
    :param token_ms: milliseconds between two tokens of an engine's stream.
    :param copies: replicas of each segment.
    :param first_entry_http_host: address at which the first entry listens
        for callers; empty for its instance's address.
    :param lease_ttl_s: time to live of a batch process's lease, in seconds.
    :param instance_list_lag_s: seconds until the list shows a change.
    :param instance_poll_s: seconds between two polls of the instance list.
    """

    network: str = '127.10.0'
    failure_domains: tuple[str, ...] = ('hobart-a', 'launceston-b')
    entries: int = 2
    engines: int = 2
    services: int = 1
    slots: int = 4
    token_ms: float = 5.0
    copies: int = 2
    first_entry_http_host: str = ''
    lease_ttl_s: int = 3
    instance_list_lag_s: float = 0.0
    instance_poll_s: float = 0.25


@attrs.define
class Member:
    """One process of the fleet."""

    name: str
    process: subprocess.Popen[bytes]

    def kill(self) -> None:
        """Kill the process (SIGKILL) and wait for its end."""
        self.process.kill()
        self.process.wait()

    def suspend(self) -> None:
        """Suspend the process (SIGSTOP); it keeps its connections."""
        self.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a suspended process (SIGCONT)."""
        self.process.send_signal(signal.SIGCONT)

    def stop(self) -> int:
        """Stop the process gracefully (SIGTERM); return its exit code."""
        self.process.terminate()
        return self.process.wait(STOP_TIMEOUT_S)


class Fleet:
    """A running fleet; :func:`open_fleet` starts and stops it.

    :param folder: receives settings, logs, standard error and data.
    :ivar members: last started process by name, such as ``entry-0``.
    """

    def __init__(self, plan: FleetPlan, folder: pathlib.Path) -> None:
        """Prepare the fleet; :meth:`start` starts its processes."""
        self.plan = plan
        self.folder = folder
        self.members: dict[str, Member] = {}

    @property
    def logs(self) -> list[str]:
        """Return the sorted paths of the logs of briarrill's processes."""
        return sorted(str(path) for path in self.folder.glob('*.log'))

    @property
    def platform_host(self) -> str:
        """Return the address of the platform's services."""
        return f'{self.plan.network}.1'

    @property
    def key_value_url(self) -> str:
        """Return the base URL of the key-value service."""
        return f'http://{self.platform_host}:{KEY_VALUE_PORT}'

    @property
    def instance_list_url(self) -> str:
        """Return the base URL of the instance list."""
        return f'http://{self.platform_host}:{INSTANCE_LIST_PORT}'

    def entry_url(self, number: int) -> str:
        """Return the base URL of an entry, counted from 0."""
        host = self._entry_http_host(number)
        return f'http://{host}:{HTTP_PORT}'

    def upstream_url(self, number: int) -> str:
        """Return the base URL of an upstream, counted from 0."""
        return f'http://{self._upstream_host(number)}:{UPSTREAM_PORT}'

    @property
    def ctl_settings(self) -> str:
        """Return the path of the settings file of briarrill-ctl."""
        return str(self.folder / 'ctl.toml')

    def start(self, configuration: str) -> None:
        """Start all processes, apply a configuration, wait for readiness.

        :param configuration: path of the operators' TOML file.
        :raises TimeoutError: a process did not respond in time.
        :raises RuntimeError: a process has exited.
        """
        self.start_platform()
        self.start_daemons()
        self._wait_path('healthz')
        self.run_ctl('apply', configuration)
        self.wait_ready()
        self._check_alive()

    def start_platform(self) -> None:
        """Start the platform's services and upstreams; wait for responses."""
        host = self.platform_host
        lag = f'--lag={self.plan.instance_list_lag_s}'
        self._start_standin('key-value', host, KEY_VALUE_PORT)
        self._start_standin('instance-list', host, INSTANCE_LIST_PORT, lag)
        self._start_standin('weight-store', host, WEIGHT_STORE_PORT)
        for number in range(self.plan.engines + self.plan.services):
            self.start_upstream(number)
        _wait_success(f'{self.key_value_url}/counts')
        _wait_success(f'{self.instance_list_url}/instances')
        for number in range(self.plan.engines + self.plan.services):
            _wait_success(f'{self.upstream_url(number)}/counts')

    def start_upstream(self, number: int) -> Member:
        """Start an engine or, after the last engine, a plain service."""
        kind = 'engine' if number < self.plan.engines else 'plain-service'
        options = []
        if kind == 'engine':
            options.append(f'--token-ms={self.plan.token_ms}')
        return self._start_standin(
            kind,
            self._upstream_host(number),
            UPSTREAM_PORT,
            *options,
            name=f'upstream-{number}',
        )

    def start_daemons(self) -> None:
        """Register all instances and start briarrill's processes."""
        self._write_settings('ctl', {'platform': self._platform()})
        for number in range(self.plan.entries):
            self.register_instance(self._entry_instance(number))
        for number in range(self.plan.engines + self.plan.services):
            self.register_instance(self._upstream_instance(number))
        for number in range(self.plan.entries):
            self.start_entry(number)
            self.start_batch(number)
        for number in range(self.plan.engines + self.plan.services):
            self.start_sidecar(number)

    def register_instance(self, instance: dict[str, Any]) -> None:
        """Add an instance to the instance list, or replace it."""
        name = instance['name']
        url = f'{self.instance_list_url}/instances/{name}'
        httpx.put(url, json=instance).raise_for_status()

    def start_entry(self, number: int) -> Member:
        """Start an entry, counted from 0."""
        settings = self._make_settings(self._entry_instance(number), 'entry')
        settings['http'] = {
            'port': HTTP_PORT,
            'host': self._entry_http_host(number),
        }
        settings['copies'] = self.plan.copies
        return self._start_daemon(f'entry-{number}', 'entry', settings)

    def start_batch(self, number: int) -> Member:
        """Start the batch process beside an entry."""
        settings = self._make_settings(self._entry_instance(number), 'batch')
        settings['metrics'] = {'port': BATCH_METRICS_PORT}
        settings['lease_ttl_s'] = self.plan.lease_ttl_s
        settings['store'] = {
            'folder': str(self.folder / f'data-{number}'),
            'copies': self.plan.copies,
        }
        return self._start_daemon(f'batch-{number}', 'batch', settings)

    def start_sidecar(self, number: int) -> Member:
        """Start the sidecar of an upstream."""
        settings = self._make_settings(
            self._upstream_instance(number), 'sidecar'
        )
        settings['metrics'] = {'port': METRICS_PORT}
        is_engine = number < self.plan.engines
        settings['upstream'] = {
            'kind': 'engine' if is_engine else 'service',
            'url': self.upstream_url(number),
            'pool': self._pool(number),
            'slots': self.plan.slots,
        }
        return self._start_daemon(f'sidecar-{number}', 'sidecar', settings)

    def wait_ready(self) -> None:
        """Wait until ``/readyz`` succeeds at all of briarrill's processes."""
        self._wait_path('readyz')

    def run_ctl(self, *arguments: str) -> str:
        """Run a command of briarrill-ctl and return its standard output.

        :raises subprocess.CalledProcessError: it exited with an error.
        """
        return subprocess.run(
            [
                *_program_command('ctl'),
                f'--settings={self.ctl_settings}',
                *arguments,
            ],
            check=True,
            capture_output=True,
            text=True,
        ).stdout

    def stop(self) -> None:
        """Stop briarrill's processes, then the stand-ins."""
        daemons: list[Member] = []
        standin_members: list[Member] = []
        for name, member in self.members.items():
            is_daemon = name.startswith(('entry', 'batch', 'sidecar'))
            (daemons if is_daemon else standin_members).append(member)
        _stop_all(daemons)
        _stop_all(standin_members)

    def exit_codes(self) -> dict[str, int]:
        """Wait for the end of all processes; return exit codes by name."""
        return {
            name: member.process.wait(STOP_TIMEOUT_S)
            for name, member in self.members.items()
        }

    def set_faults(self, base_url: str, **faults: Any) -> None:
        """Inject faults into a stand-in; faults not named are cleared."""
        httpx.put(f'{base_url}/faults', json=faults).raise_for_status()

    def _wait_path(self, path: str) -> None:
        """Wait until a path succeeds at all of briarrill's processes."""
        for number in range(self.plan.entries):
            _wait_success(f'{self.entry_url(number)}/{path}')
            host = self._entry_host(number)
            _wait_success(f'http://{host}:{BATCH_METRICS_PORT}/{path}')
        for number in range(self.plan.engines + self.plan.services):
            host = self._upstream_host(number)
            _wait_success(f'http://{host}:{METRICS_PORT}/{path}')

    def _check_alive(self) -> None:
        """Raise if a process has exited, such as on a port in use."""
        for name, member in self.members.items():
            if member.process.poll() is not None:
                raise RuntimeError(f'process {name} exited during start')

    def _pool(self, number: int) -> str:
        return 'drafting' if number < self.plan.engines else 'approvals'

    def _entry_host(self, number: int) -> str:
        return f'{self.plan.network}.{10 + number}'

    def _entry_http_host(self, number: int) -> str:
        if number == 0 and self.plan.first_entry_http_host:
            return self.plan.first_entry_http_host
        return self._entry_host(number)

    def _upstream_host(self, number: int) -> str:
        return f'{self.plan.network}.{100 + number}'

    def _failure_domain(self, number: int) -> str:
        return self.plan.failure_domains[
            number % len(self.plan.failure_domains)
        ]

    def _entry_instance(self, number: int) -> dict[str, Any]:
        return {
            'name': f'entry-{number}',
            'host': self._entry_host(number),
            'failure_domain': self._failure_domain(number),
            'region': REGION,
            'roles': ['entry', 'batch'],
        }

    def _upstream_instance(self, number: int) -> dict[str, Any]:
        return {
            'name': f'upstream-{number}',
            'host': self._upstream_host(number),
            'failure_domain': self._failure_domain(number),
            'region': REGION,
            'roles': ['upstream'],
            'pool': self._pool(number),
        }

    def _platform(self) -> dict[str, Any]:
        return {
            'key_value_url': self.key_value_url,
            'instance_list_url': self.instance_list_url,
            'instance_poll_s': self.plan.instance_poll_s,
        }

    def _make_settings(
        self, instance: dict[str, Any], role: str
    ) -> dict[str, Any]:
        copied_keys = ('name', 'host', 'failure_domain', 'region')
        log = self.folder / f'{instance["name"]}.{role}.log'
        return {
            'instance': {key: instance[key] for key in copied_keys},
            'platform': self._platform(),
            'log': {'path': str(log)},
        }

    def _write_settings(
        self, name: str, settings: dict[str, Any]
    ) -> pathlib.Path:
        path = self.folder / f'{name}.toml'
        path.write_bytes(msgspec.toml.encode(settings))
        return path

    def _start_daemon(
        self, name: str, binary: str, settings: dict[str, Any]
    ) -> Member:
        path = self._write_settings(name, settings)
        return self._start(name, [*_program_command(binary), str(path)])

    def _start_standin(
        self, kind: str, host: str, port: int, *options: str, name: str = ''
    ) -> Member:
        command = [sys.executable, '-m', 'standins', kind, host, str(port)]
        return self._start(name or kind, [*command, *options])

    def _start(self, name: str, command: list[str]) -> Member:
        with open(self.folder / f'{name}.stderr', 'ab') as stream:
            process = subprocess.Popen(command, stderr=stream)
        member = Member(name, process)
        self.members[name] = member
        return member


def _program_command(name: str) -> list[str]:
    """Return the command that runs briarrill-NAME without its script."""
    module = f'briarrill.{name}.main'
    statement = f'import sys; from {module} import main; sys.exit(main())'
    return [sys.executable, '-c', statement]


def _stop_all(members: list[Member]) -> None:
    """Stop processes; kill those still running after STOP_TIMEOUT_S."""
    for member in members:
        member.resume()
        member.process.terminate()
    for member in members:
        try:
            member.process.wait(STOP_TIMEOUT_S)
        except subprocess.TimeoutExpired:
            member.kill()


def _wait_success(url: str) -> None:
    """Poll a URL until it responds with a 2xx status.

    :raises TimeoutError: it did not within START_TIMEOUT_S.
    """
    deadline = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline:
        with contextlib.suppress(httpx.HTTPError):
            if httpx.get(url, timeout=1.0).is_success:
                return
        time.sleep(READY_POLL_S)
    raise TimeoutError(f'no 2xx from {url} within {START_TIMEOUT_S} s')


@contextlib.contextmanager
def open_fleet(
    plan: FleetPlan, folder: pathlib.Path, configuration: str
) -> Iterator[Fleet]:
    """Start a fleet with a configuration; stop all processes on exit.

    :param configuration: path of the operators' TOML file.
    """
    fleet = Fleet(plan, folder)
    try:
        fleet.start(configuration)
        yield fleet
    finally:
        fleet.stop()
