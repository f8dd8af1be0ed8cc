"""briarrill.ctl.commands: table of commands; fleet and file commands."""

import sys

import msgspec

from ..control import control_peers, control_processes
from ..protocol.messages import Drain
from ..protocol.rpc import open_rpc_pool
from ..runtime import open_platform
from ..state.api_keys import hash_api_key
from ..state.contracts import load_configuration
from ..state.settings import (
    SETTINGS_BY_BINARY,
    binary_for_settings,
    load_settings,
)
from ..transport.curve import make_curve_keys
from ..transport.instance_list import Instance, Role
from .arguments import Arguments, read_settings
from .configuration import apply, diff, get, history
from .jobs import cancel_job, list_jobs, show_job
from .output import print_line
from .survey import fetch_statuses

__all__ = ('COMMANDS',)


async def validate(arguments: Arguments) -> None:
    """Check a configuration file, or the settings file of any binary.

    :raises BriarrillError: the file is invalid.
    """
    path = arguments['CONFIG']
    binary = binary_for_settings(path)
    if binary:
        load_settings(path, SETTINGS_BY_BINARY[binary])
        print_line(f'valid: settings of briarrill-{binary}')
        return
    cfg = load_configuration(path)
    print_line(f'valid: {len(cfg.contracts)} contracts')


async def curve_keys(_arguments: Arguments) -> None:
    """Print a new key pair as the TOML table for all settings files."""
    keys = make_curve_keys()
    print_line('[curve]')
    print_line(f"public_key = '{keys.public_key}'")
    print_line(f"secret_key = '{keys.secret_key}'")


async def hash_key(_arguments: Arguments) -> None:
    """Print the hash of an API key read from standard input."""
    print_line(hash_api_key(sys.stdin.readline().strip()))


async def status(arguments: Arguments) -> None:
    """Print each process with its readiness and configuration version.

    Also prints how many versions each is behind the newest one, and the
    processes that did not reply; JSON has only those that replied.
    """
    settings = read_settings(arguments)
    async with (
        open_platform(settings.platform) as platform,
        open_rpc_pool() as caller,
    ):
        instances = await platform.instance_list.fetch()
        processes = control_processes(instances, settings.ports)
        statuses = await fetch_statuses(caller, processes)
    rows = sorted(statuses.values(), key=lambda row: (row.role, row.process))
    if arguments['--json']:
        print_line(msgspec.json.encode(rows).decode())
        return
    newest = max((row.config_version for row in rows), default=0)
    for row in rows:
        lag = newest - row.config_version
        print_line(
            f'{row.process:28} {row.role:9} {row.failure_domain:14}'
            f' version {row.config_version}'
            f' {"ready" if row.ready else "not ready"}'
            f'{f", {lag} behind" if lag else ""}'
        )
    for process in processes:
        if process not in statuses:
            print_line(f'{process.name:28} {process.role.value:9} no answer')


async def drain(arguments: Arguments) -> None:
    """Start the drain of the process at ``HOST`` with role ``ROLE``.

    :raises PeerUnreachableError: the process did not reply.
    """
    settings = read_settings(arguments)
    instance = Instance(
        name='',
        host=arguments['HOST'],
        failure_domain='',
        region='',
        roles=(Role(arguments['ROLE']),),
    )
    peer = control_peers((instance,), settings.ports)[0]
    async with open_rpc_pool() as caller:
        await caller.call(peer.host, peer.port, Drain())
    print_line('draining')


#: Command word to the coroutine that runs it.
COMMANDS = {
    'apply': apply,
    'cancel': cancel_job,
    'curve-keys': curve_keys,
    'diff': diff,
    'drain': drain,
    'get': get,
    'hash-key': hash_key,
    'history': history,
    'jobs': list_jobs,
    'show': show_job,
    'status': status,
    'validate': validate,
}
