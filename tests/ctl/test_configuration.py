"""Configuration commands against processes over real sockets."""

import contextlib

import pytest
import trio

from briarrill.coordination.acceptance import read_head
from briarrill.ctl.configuration import (
    apply,
    diff,
    get,
    history,
    push_to_peers,
    wait_version_spread,
)
from briarrill.errors import SpreadIncompleteError, VersionConflictError
from briarrill.protocol.rpc import open_rpc_pool
from briarrill.runtime import Platform
from standins.control_fleet import open_control_fleet
from standins.memory_key_value import MemoryKeyValue

TEST_TIMEOUT_S = 30

FIRST = '[policy]\nonline_weight = 0.1\n'
SECOND = '[policy]\nonline_weight = 0.2\n'

SETTINGS = """
[platform]
key_value_url = 'http://127.0.0.1:1'
instance_list_url = 'http://127.0.0.1:1'
"""


@contextlib.asynccontextmanager
async def _open(network, monkeypatch, count):
    async with open_control_fleet(network) as fleet:

        @contextlib.asynccontextmanager
        async def open_platform(_cfg):
            yield Platform(fleet.key_value, fleet.instance_list)

        monkeypatch.setattr(
            'briarrill.ctl.configuration.open_platform', open_platform
        )
        await fleet.add(count)
        yield fleet


def _arguments(folder, text='', **options):
    (folder / 'ctl.toml').write_text(SETTINGS)
    (folder / 'cfg.toml').write_text(text)
    return {
        '--settings': str(folder / 'ctl.toml'),
        'CONFIG': str(folder / 'cfg.toml'),
        'VERSION': None,
        '--base': options.get('base'),
        '--wait': options.get('wait', False),
        '--toml': True,
        '--limit': '2',
    }


async def test_apply_diff_history_and_get_show_and_change_versions(
    network, monkeypatch, tmp_path, capsys
):
    with trio.fail_after(TEST_TIMEOUT_S):
        async with _open(network, monkeypatch, 4) as fleet:
            await apply(_arguments(tmp_path, FIRST, wait=True))
            assert {node.version for node in fleet.running.values()} == {1}
            assert 'in force: version 1 at 4' in capsys.readouterr().out
            await diff(_arguments(tmp_path, SECOND))
            shown = capsys.readouterr().out
            assert 'base: version 1' in shown
            assert 'policy.online_weight: 0.1 -> 0.2' in shown
            await apply(_arguments(tmp_path, SECOND, base='1', wait=True))
            capsys.readouterr()
            await history(_arguments(tmp_path))
            shown = capsys.readouterr().out
            assert shown.index('version 1 ') < shown.index('version 2 ')
            with pytest.raises(VersionConflictError):
                await apply(_arguments(tmp_path, FIRST, base='1'))
            await get(_arguments(tmp_path))
            edited = capsys.readouterr().out
            await apply(_arguments(tmp_path, edited, base='2', wait=True))
            assert {node.version for node in fleet.running.values()} == {3}


async def test_pushed_version_spreads_without_the_key_value_service(network):
    """Peers spread a version that no watcher saw.

    The key-value service fails right after it accepted the version, and two
    processes are down.
    """
    with trio.fail_after(TEST_TIMEOUT_S):
        async with (
            open_control_fleet(network) as fleet,
            open_rpc_pool() as caller,
        ):
            await fleet.accept_configuration(0.1)
            await fleet.add(9)
            await fleet.wait_in_force(1)
            processes = fleet.processes()
            await fleet.running[0].stop()
            await fleet.running[1].stop()
            # watchers lose their service before the last version is accepted
            fleet.key_value.is_down = True
            fleet.key_value = MemoryKeyValue()
            await fleet.accept_configuration(0.1)
            version = await fleet.accept_configuration(0.2)
            raw, _ = await read_head(fleet.key_value)
            assert {node.version for node in fleet.running.values()} == {1}
            await push_to_peers(caller, processes, raw)
            await fleet.wait_in_force(version)


async def test_push_without_reachable_peers_raises_spread_incomplete(network):
    with trio.fail_after(TEST_TIMEOUT_S):
        async with (
            open_control_fleet(network) as fleet,
            open_rpc_pool() as caller,
        ):
            await fleet.accept_configuration(0.1)
            listed = [fleet.instance(number) for number in range(3)]
            fleet.instance_list.instances = {
                listed_instance.name: listed_instance
                for listed_instance in listed
            }
            raw, _ = await read_head(fleet.key_value)
            with pytest.raises(SpreadIncompleteError, match='0 of 3'):
                await push_to_peers(caller, fleet.processes(), raw)


async def test_wait_timeout_names_processes_without_the_version(
    network, monkeypatch
):
    monkeypatch.setattr('briarrill.ctl.configuration.SPREAD_TIMEOUT_S', 1)
    with trio.fail_after(TEST_TIMEOUT_S):
        async with (
            open_control_fleet(network) as fleet,
            open_rpc_pool() as caller,
        ):
            await fleet.accept_configuration(0.1)
            await fleet.add(3)
            await fleet.wait_in_force(1)
            lost = fleet.running[2].control.instance.host
            await fleet.running[2].stop()
            with pytest.raises(SpreadIncompleteError, match=f'1 of 3.*{lost}'):
                await wait_version_spread(caller, fleet.processes(), 1)
