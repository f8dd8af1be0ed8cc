"""briarrill.ctl.commands: what each command does."""

import contextlib
import getpass
import sys
import time
from typing import Any

import msgspec
import trio

from ..control import control_peers
from ..coordination.acceptance import accept_version, read_head
from ..coordination.configuration import Peer, decode_config_record
from ..errors import BriarrillError, SpreadIncompleteError
from ..protocol.messages import ConfigPush, Drain, Status, StatusRequest
from ..protocol.rpc import RpcPool, open_rpc_pool
from ..runtime import Platform, open_platform
from ..state.contracts import (
    decode_configuration,
    hash_api_key,
    load_configuration,
)
from ..state.settings import (
    SETTINGS_BY_BINARY,
    CtlSettings,
    find_binary,
    load_settings,
)
from ..transport.instance_list import Instance, Role

__all__ = ('COMMANDS',)

# failure domains that hold a new version before it is called accepted
SPREAD_DOMAINS = 2

Arguments = dict[str, Any]


def _say(text: str) -> None:
    sys.stdout.write(f'{text}\n')


async def validate(arguments: Arguments) -> None:
    """Check a configuration file, or a settings file of any binary."""
    path = arguments['CONFIG']
    binary = find_binary(path)
    if binary:
        load_settings(path, SETTINGS_BY_BINARY[binary])
        _say(f'valid: settings of briarrill-{binary}')
        return
    cfg = load_configuration(path)
    _say(f'valid: {len(cfg.contracts)} contracts')


async def hash_key(_arguments: Arguments) -> None:
    """Print the hash of an API key read from standard input."""
    _say(hash_api_key(sys.stdin.readline().strip()))


async def apply(arguments: Arguments) -> None:
    """Accept a configuration file as the next version."""
    settings = _settings(arguments)
    cfg = load_configuration(arguments['CONFIG'])
    async with (
        open_platform(settings.platform) as platform,
        open_rpc_pool() as caller,
    ):
        raw = await accept_version(
            platform.key_value,
            cfg,
            await _base_version(arguments, platform),
            author=getpass.getuser(),
            created_at=int(time.time()),
        )
        version = decode_config_record(raw).version
        instances = await platform.instance_list.fetch()
        await _hand_to_peers(caller, settings, instances, raw)
    _say(f'accepted: version {version}')


async def get(arguments: Arguments) -> None:
    """Print the newest configuration."""
    settings = _settings(arguments)
    async with open_platform(settings.platform) as platform:
        raw, _ = await read_head(platform.key_value)
    if not raw:
        _say('no configuration')
        return
    record = decode_config_record(raw)
    cfg = decode_configuration(record.body)
    shown = {'version': record.version, 'configuration': cfg}
    _say(msgspec.json.format(msgspec.json.encode(shown)).decode())


async def status(arguments: Arguments) -> None:
    """Show the processes of the fleet."""
    settings = _settings(arguments)
    async with (
        open_platform(settings.platform) as platform,
        open_rpc_pool() as caller,
    ):
        instances = await platform.instance_list.fetch()
        rows = await _ask_all(caller, control_peers(instances, settings.ports))
    if arguments['--json']:
        _say(msgspec.json.encode(rows).decode())
        return
    for row in rows:
        _say(
            f'{row.process:28} {row.role:9} {row.failure_domain:14}'
            f' version {row.config_version}'
            f' {"ready" if row.ready else "not ready"}'
        )


async def drain(arguments: Arguments) -> None:
    """Ask one process to stop gracefully."""
    settings = _settings(arguments)
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
    _say('draining')


def _settings(arguments: Arguments) -> CtlSettings:
    return load_settings(arguments['--settings'], CtlSettings)


async def _base_version(arguments: Arguments, platform: Platform) -> int:
    if arguments['--base']:
        return int(arguments['--base'])
    raw, _ = await read_head(platform.key_value)
    return decode_config_record(raw).version if raw else 0


async def _hand_to_peers(
    caller: RpcPool,
    settings: CtlSettings,
    instances: tuple[Instance, ...],
    raw: bytes,
) -> None:
    """Hand an accepted version to peers in two failure domains.

    :raises SpreadIncompleteError: no peer took it; it is in force where
        the key-value service is read.
    """
    reached: set[str] = set()
    push = ConfigPush(version=decode_config_record(raw).version, body=raw)
    for instance in instances:
        if instance.failure_domain in reached:
            continue
        peer = control_peers((instance,), settings.ports)[0]
        with contextlib.suppress(BriarrillError):
            await caller.call(peer.host, peer.port, push)
            reached.add(instance.failure_domain)
        if len(reached) == SPREAD_DOMAINS:
            return
    if not reached:
        raise SpreadIncompleteError('accepted, but handed to no process')


async def _ask_all(caller: RpcPool, peers: list[Peer]) -> list[Status]:
    rows: list[Status] = []

    async def ask(peer: Peer) -> None:
        try:
            reply = await caller.call(peer.host, peer.port, StatusRequest())
        except BriarrillError:
            return
        if isinstance(reply, Status):
            rows.append(reply)

    async with trio.open_nursery() as nursery:
        for peer in peers:
            nursery.start_soon(ask, peer)
    return sorted(rows, key=lambda row: (row.role, row.process))


#: Command word to the coroutine that runs it.
COMMANDS = {
    'apply': apply,
    'drain': drain,
    'get': get,
    'hash-key': hash_key,
    'status': status,
    'validate': validate,
}
