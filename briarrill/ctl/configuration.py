"""briarrill.ctl.configuration: commands that show and change versions."""

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
from ..state.config_changes import describe_changes
from ..state.contracts import (
    Configuration,
    decode_configuration,
    load_configuration,
)
from .arguments import Arguments, read_settings
from .output import say
from .survey import CONCURRENCY, ask

__all__ = ('apply', 'diff', 'get', 'hand_to_peers', 'history', 'wait_spread')

# failure domains that hold a new version before it is called accepted
SPREAD_DOMAINS = 2

# processes of a failure domain that are tried
ATTEMPTS_PER_DOMAIN = 3
HAND_TIMEOUT_S = 1.0

# within this time an accepted version is in force everywhere
SPREAD_LIMIT_S = 8.0
SPREAD_POLL_S = 0.25
MAX_NAMED = 5


async def apply(arguments: Arguments) -> None:
    """Accept a configuration file as the next version."""
    settings = read_settings(arguments)
    cfg = load_configuration(arguments['CONFIG'])
    async with (
        open_platform(settings.platform) as platform,
        open_rpc_pool() as caller,
    ):
        # listed first: once accepted, the version must not wait for a list
        listed = await platform.instance_list.fetch()
        processes = control_processes(listed, settings.ports)
        raw = await accept_version(
            platform.key_value,
            cfg,
            await _base_version(arguments, platform),
            author=getpass.getuser(),
            created_at=int(time.time()),
        )
        version = decode_config_record(raw).version
        await hand_to_peers(caller, processes, raw)
        say(f'accepted: version {version}')
        if arguments['--wait']:
            await wait_spread(caller, processes, version)
            say(f'in force: version {version} at {len(processes)} processes')


async def get(arguments: Arguments) -> None:
    """Print a version, the newest by default."""
    settings = read_settings(arguments)
    async with open_platform(settings.platform) as platform:
        record = await _find(platform, arguments['VERSION'])
    if record is None:
        say('no configuration')
        return
    cfg = decode_configuration(record.body)
    if arguments['--toml']:
        say(f'# version {record.version}')
        say(msgspec.toml.encode(cfg).decode())
        return
    shown = {'version': record.version, 'configuration': cfg}
    say(msgspec.json.format(msgspec.json.encode(shown)).decode())


async def diff(arguments: Arguments) -> None:
    """Show what applying a file would change."""
    settings = read_settings(arguments)
    cfg = load_configuration(arguments['CONFIG'])
    async with open_platform(settings.platform) as platform:
        record = await _find(platform, arguments['--base'])
    base = decode_configuration(record.body) if record else Configuration()
    say(f'base: version {record.version if record else 0}')
    for line in describe_changes(base, cfg):
        say(line)


async def history(arguments: Arguments) -> None:
    """Show the newest versions and what each changed."""
    settings = read_settings(arguments)
    limit = int(arguments['--limit'])
    async with open_platform(settings.platform) as platform:
        records = await read_history(platform.key_value, limit + 1)
    before = Configuration()
    for record in records:
        cfg = decode_configuration(record.body)
        if record in records[-limit:]:
            _say_record(record, describe_changes(before, cfg))
        before = cfg


async def hand_to_peers(
    caller: RpcCaller, processes: list[Process], raw: bytes
) -> None:
    """Hand an accepted version to peers in two failure domains.

    The failure domains are tried at the same time.

    :raises SpreadIncompleteError: no peer took it; it is in force where
        the key-value service is read.
    """
    push = ConfigPush(version=decode_config_record(raw).version, body=raw)
    domains: dict[str, list[Process]] = {}
    for process in processes:
        domains.setdefault(process.failure_domain, []).append(process)
    taken: list[str] = []
    async with trio.open_nursery() as nursery:

        async def hand(domain: str) -> None:
            for process in domains[domain][:ATTEMPTS_PER_DOMAIN]:
                with contextlib.suppress(BriarrillError):
                    peer = process.peer
                    await caller.call(
                        peer.host, peer.port, push, HAND_TIMEOUT_S
                    )
                    taken.append(domain)
                    break
            if len(taken) >= SPREAD_DOMAINS:
                nursery.cancel_scope.cancel()

        for name in domains:
            nursery.start_soon(hand, name)
    if len(taken) < min(SPREAD_DOMAINS, len(domains)) or not taken:
        raise SpreadIncompleteError(
            f'version {push.version} is accepted, but handed to'
            f' {len(taken)} of {len(domains)} failure domains'
        )


async def wait_spread(
    caller: RpcCaller, processes: list[Process], version: int
) -> None:
    """Wait until all processes have a version.

    :raises SpreadIncompleteError: names processes that do not have it.
    """
    waiting = dict.fromkeys(processes)
    limiter = trio.CapacityLimiter(CONCURRENCY)

    async def wait(process: Process) -> None:
        while not await _has_version(caller, process, version, limiter):
            await trio.sleep(SPREAD_POLL_S)
        waiting.pop(process)

    with trio.move_on_after(SPREAD_LIMIT_S):
        async with trio.open_nursery() as nursery:
            for process in processes:
                nursery.start_soon(wait, process)
    if waiting:
        named = ', '.join(process.name for process in [*waiting][:MAX_NAMED])
        raise SpreadIncompleteError(
            f'version {version} is accepted; not yet in force at'
            f' {len(waiting)} of {len(processes)} processes: {named}'
        )


async def _has_version(
    caller: RpcCaller,
    process: Process,
    version: int,
    limiter: trio.CapacityLimiter,
) -> bool:
    async with limiter:
        row = await ask(caller, process)
    return row is not None and row.config_version >= version


async def _find(platform: Platform, wanted: str | None) -> ConfigRecord | None:
    """Return a version, or the newest, or nothing when there is none.

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
    if arguments['--base']:
        return int(arguments['--base'])
    raw, _ = await read_head(platform.key_value)
    return decode_config_record(raw).version if raw else 0


def _say_record(record: ConfigRecord, changes: list[str]) -> None:
    at = time.strftime('%Y-%m-%d %H:%M:%S', time.gmtime(record.created_at))
    say(f'version {record.version} {at} UTC by {record.author}')
    for line in changes:
        say(f'  {line}')
