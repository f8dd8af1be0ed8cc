"""briarrill.ctl.configuration: commands on configuration versions."""

import contextlib
import getpass
import time

import msgspec
import trio

from ..control import control_processes
from ..coordination.acceptance import (
    accept_version,
    read_head,
    read_history,
    read_version,
)
from ..coordination.configuration import ConfigRecord, decode_config_record
from ..coordination.neighbours import Process
from ..errors import BriarrillError, NotFoundError, SpreadIncompleteError
from ..protocol.messages import ConfigPush
from ..protocol.rpc import RpcCaller, open_rpc_pool
from ..runtime import Platform, open_platform
from ..state.config_changes import list_configuration_changes
from ..state.contracts import (
    Configuration,
    decode_configuration,
    load_configuration,
)
from .arguments import Arguments, read_settings
from .output import print_line
from .survey import MAX_CONCURRENT_CALLS, fetch_status

__all__ = (
    'apply',
    'diff',
    'get',
    'history',
    'push_to_peers',
    'wait_version_spread',
)

# failure domains that must have a new version before it is reported accepted
MIN_SPREAD_DOMAINS = 2

# processes of a failure domain that are tried one after the other
ATTEMPTS_PER_DOMAIN = 3
PUSH_TIMEOUT_S = 1.0

# time limit of --wait for a version to be in force in all processes
SPREAD_TIMEOUT_S = 8.0
STATUS_POLL_INTERVAL_S = 0.25

# processes that the error about an incomplete spread names
MAX_NAMED_PROCESSES = 5


async def apply(arguments: Arguments) -> None:
    """Write a configuration file as the next version and spread it.

    :raises ConfigurationError: the file is invalid.
    :raises VersionConflictError: the base is not the newest version.
    :raises SpreadIncompleteError: the version was accepted but reached too
        few failure domains or, with ``--wait``, not all processes in time.
    """
    settings = read_settings(arguments)
    cfg = load_configuration(arguments['CONFIG'])
    async with (
        open_platform(settings.platform) as platform,
        open_rpc_pool() as caller,
    ):
        # list processes before the write, so that spreading an accepted
        # version does not depend on the instance list
        instances = await platform.instance_list.fetch()
        processes = control_processes(instances, settings.ports)
        raw = await accept_version(
            platform.key_value,
            cfg,
            await _base_version(arguments, platform),
            author=getpass.getuser(),
            created_at=int(time.time()),
        )
        version = decode_config_record(raw).version
        await push_to_peers(caller, processes, raw)
        print_line(f'accepted: version {version}')
        if arguments['--wait']:
            await wait_version_spread(caller, processes, version)
            print_line(
                f'in force: version {version} at {len(processes)} processes'
            )


async def get(arguments: Arguments) -> None:
    """Print a configuration version as JSON or TOML, by default the newest.

    :raises NotFoundError: the version is not in the history.
    """
    settings = read_settings(arguments)
    async with open_platform(settings.platform) as platform:
        record = await _find_version(platform, arguments['VERSION'])
    if record is None:
        print_line('no configuration')
        return
    cfg = decode_configuration(record.body)
    if arguments['--toml']:
        print_line(f'# version {record.version}')
        print_line(msgspec.toml.encode(cfg).decode())
        return
    output = {'version': record.version, 'configuration': cfg}
    print_line(msgspec.json.format(msgspec.json.encode(output)).decode())


async def diff(arguments: Arguments) -> None:
    """Print the changes that applying a file would make to its base.

    :raises NotFoundError: the base version is not in the history.
    """
    settings = read_settings(arguments)
    cfg = load_configuration(arguments['CONFIG'])
    async with open_platform(settings.platform) as platform:
        record = await _find_version(platform, arguments['--base'])
    base = decode_configuration(record.body) if record else Configuration()
    print_line(f'base: version {record.version if record else 0}')
    for line in list_configuration_changes(base, cfg):
        print_line(line)


async def history(arguments: Arguments) -> None:
    """Print the newest versions with their changes, oldest first."""
    settings = read_settings(arguments)
    limit = int(arguments['--limit'])
    async with open_platform(settings.platform) as platform:
        records = await read_history(platform.key_value, limit + 1)
    previous = Configuration()
    for record in records:
        cfg = decode_configuration(record.body)
        if record in records[-limit:]:
            _print_record(record, list_configuration_changes(previous, cfg))
        previous = cfg


async def push_to_peers(
    caller: RpcCaller, processes: list[Process], raw: bytes
) -> None:
    """Push an accepted version to one peer in each of two failure domains.

    All failure domains are tried concurrently until two have it.

    :raises SpreadIncompleteError: fewer failure domains than required have
        the version; it is in force only in processes that watch the
        key-value service.
    """
    push = ConfigPush(version=decode_config_record(raw).version, body=raw)
    domains: dict[str, list[Process]] = {}
    for process in processes:
        domains.setdefault(process.failure_domain, []).append(process)
    reached_domains: list[str] = []
    async with trio.open_nursery() as nursery:

        async def push_to_domain(domain: str) -> None:
            for process in domains[domain][:ATTEMPTS_PER_DOMAIN]:
                with contextlib.suppress(BriarrillError):
                    peer = process.peer
                    await caller.call(
                        peer.host, peer.port, push, PUSH_TIMEOUT_S
                    )
                    reached_domains.append(domain)
                    break
            if len(reached_domains) >= MIN_SPREAD_DOMAINS:
                nursery.cancel_scope.cancel()

        for name in domains:
            nursery.start_soon(push_to_domain, name)
    if (
        len(reached_domains) < min(MIN_SPREAD_DOMAINS, len(domains))
        or not reached_domains
    ):
        raise SpreadIncompleteError(
            f'version {push.version} is accepted but was pushed to only'
            f' {len(reached_domains)} of {len(domains)} failure domains'
        )


async def wait_version_spread(
    caller: RpcCaller, processes: list[Process], version: int
) -> None:
    """Wait until all processes report this version or a newer one.

    :raises SpreadIncompleteError: some do not after ``SPREAD_TIMEOUT_S``; the
        message names the first of them.
    """
    pending = dict.fromkeys(processes)
    limiter = trio.CapacityLimiter(MAX_CONCURRENT_CALLS)

    async def wait_for_process(process: Process) -> None:
        while not await _has_version(caller, process, version, limiter):
            await trio.sleep(STATUS_POLL_INTERVAL_S)
        pending.pop(process)

    with trio.move_on_after(SPREAD_TIMEOUT_S):
        async with trio.open_nursery() as nursery:
            for process in processes:
                nursery.start_soon(wait_for_process, process)
    if pending:
        names = ', '.join(
            process.name for process in [*pending][:MAX_NAMED_PROCESSES]
        )
        raise SpreadIncompleteError(
            f'version {version} is accepted; not yet in force at'
            f' {len(pending)} of {len(processes)} processes: {names}'
        )


async def _has_version(
    caller: RpcCaller,
    process: Process,
    version: int,
    limiter: trio.CapacityLimiter,
) -> bool:
    """Return whether a process reports this version or a newer one."""
    async with limiter:
        status = await fetch_status(caller, process)
    return status is not None and status.config_version >= version


async def _find_version(
    platform: Platform, wanted: str | None
) -> ConfigRecord | None:
    """Return a version, by default the newest, or None if none exists.

    :raises NotFoundError: the version is not in the history.
    """
    if not wanted:
        raw, _ = await read_head(platform.key_value)
        return decode_config_record(raw) if raw else None
    record = await read_version(platform.key_value, int(wanted))
    if record is None:
        raise NotFoundError(f'version {wanted} is not in the history')
    return record


async def _base_version(arguments: Arguments, platform: Platform) -> int:
    """Return the version given by ``--base``, by default the newest."""
    if arguments['--base']:
        return int(arguments['--base'])
    raw, _ = await read_head(platform.key_value)
    return decode_config_record(raw).version if raw else 0


def _print_record(record: ConfigRecord, changes: list[str]) -> None:
    created = time.strftime(
        '%Y-%m-%d %H:%M:%S', time.gmtime(record.created_at)
    )
    print_line(f'version {record.version} {created} UTC by {record.author}')
    for line in changes:
        print_line(f'  {line}')
