"""An accepted version is in force everywhere and never reverts."""

import threading
import time

import pytest
import trio

from briarrill.coordination.configuration import (
    FREEZE_S,
    ConfigHolder,
    Peer,
)
from briarrill.coordination.neighbours import (
    Process,
    choose_neighbours,
    choose_watchers,
)
from briarrill.errors import ConfigurationError, NotReadyError
from briarrill.state.config_file import ConfigFile
from briarrill.transport.instance_list import Role
from standins.control_fleet import open_control_fleet

LIMIT_S = 30
NODES = 10


async def _start(fleet, count=NODES):
    """Start processes that all have version 1."""
    await fleet.accept(0.1)
    await fleet.add(count)
    await fleet.wait_version(1)


def _watchers(fleet):
    processes = {
        fleet.running[number].control._own: number for number in fleet.running
    }
    return [processes[chosen] for chosen in choose_watchers(processes)]


async def test_accepted_version_reaches_all(network):
    with trio.fail_after(LIMIT_S):
        async with open_control_fleet(network) as fleet:
            await _start(fleet)
            await fleet.wait_version(await fleet.accept(0.2))


async def test_version_spreads_when_a_tenth_of_messages_is_lost(network):
    with trio.fail_after(LIMIT_S):
        async with open_control_fleet(network, seed=7) as fleet:
            await _start(fleet)
            fleet.traffic.loss = 0.1
            for weight in (0.2, 0.3, 0.4):
                await fleet.wait_version(await fleet.accept(weight))


async def test_one_peer_is_enough_when_service_and_watchers_are_lost(network):
    """The service and all watchers go right after the acceptance."""
    with trio.fail_after(LIMIT_S):
        async with open_control_fleet(network) as fleet:
            await _start(fleet, 16)
            for number in _watchers(fleet):
                await fleet.running[number].stop()
            version = await fleet.accept(0.2)
            fleet.key_value.down = True
            handed = next(iter(fleet.running.values())).control.holder
            raw = fleet.key_value._entries['briarrill/config/head'][0].body
            assert handed.version == 1
            handed.take(raw)
            assert len(fleet.running) < 16
            await fleet.wait_version(version)


async def test_process_that_joins_during_an_outage_takes_the_highest(network):
    with trio.fail_after(LIMIT_S):
        async with open_control_fleet(network) as fleet:
            await _start(fleet)
            await fleet.wait_version(await fleet.accept(0.2))
            fleet.key_value.down = True
            await fleet.add(1)
            await fleet.running[NODES].control.wait_configured()
            assert fleet.running[NODES].version == 2


async def test_restart_with_an_old_data_folder_takes_the_highest(
    network, tmp_path
):
    kept = ConfigFile(tmp_path / 'data')
    with trio.fail_after(LIMIT_S):
        async with open_control_fleet(network) as fleet:
            await _start(fleet)
            await fleet.running[0].stop()
            kept.save(fleet.running[1].control.holder.raw)
            await fleet.wait_version(await fleet.accept(0.2))
            fleet.key_value.down = True
            node = await fleet.start(0, kept)
            await node.control.wait_configured()
            assert node.version == 2


async def test_data_folder_keeps_the_version_over_a_loss_of_all(
    network, tmp_path
):
    """All processes and the service are lost at the same time."""
    kept = ConfigFile(tmp_path / 'data')
    with trio.fail_after(LIMIT_S):
        async with open_control_fleet(network) as fleet:
            await fleet.accept(0.1)
            await fleet.add(2)
            await fleet.wait_version(1)
            await fleet.running[0].stop()
            await fleet.start(0, kept)
            while not kept.load():
                await trio.sleep(0.05)
            for node in list(fleet.running.values()):
                await node.stop()
            fleet.key_value.down = True
            node = await fleet.start(0, kept)
            await node.control.wait_configured()
            assert node.version == 1


async def test_process_without_a_version_is_not_configured(network):
    with trio.fail_after(LIMIT_S):
        async with open_control_fleet(network) as fleet:
            fleet.key_value.down = True
            await fleet.add(2)
            with trio.move_on_after(0.5) as scope:
                await fleet.running[0].control.wait_configured()
            assert scope.cancelled_caught
            with pytest.raises(NotReadyError):
                fleet.running[0].control.holder.current.contracts.get('none')


async def test_watchers_are_chosen_anew_when_they_are_lost(network):
    with trio.fail_after(LIMIT_S):
        async with open_control_fleet(network) as fleet:
            await _start(fleet, 12)
            lost = _watchers(fleet)
            assert len(lost) == 6
            for number in lost:
                fleet.instance_list.instances.pop(f'node-{number}')
                await fleet.running[number].stop()
            await fleet.wait_version(await fleet.accept(0.2))


async def test_peers_lost_from_the_list_lose_their_connections(
    network, monkeypatch
):
    monkeypatch.setattr('briarrill.protocol.rpc.IDLE_S', 0.5)
    with trio.fail_after(LIMIT_S):
        async with open_control_fleet(network) as fleet:
            await _start(fleet)
            assert len(fleet.running[0].pool) > 2
            for number in range(2, NODES):
                fleet.instance_list.instances.pop(f'node-{number}')
            while len(fleet.running[0].pool) > 1:
                await trio.sleep(0.1)


async def _run_in_thread(fleet, number, steps, seen):
    """Run a process on a loop of its own that stops for a while."""
    node = await fleet.start(number)
    await node.control.wait_configured()
    steps['running'].set()
    while not steps['freeze'].is_set():
        await trio.sleep(0.05)
    time.sleep(FREEZE_S + 0.5)
    try:
        seen.append(node.control.holder.current.policy.online_weight)
    except NotReadyError:
        seen.append('refused')
    while seen[-1] == 'refused':
        await trio.sleep(0.01)
        if not node.control.holder.was_frozen:
            seen.append(node.control.holder.current.policy.online_weight)


async def test_frozen_process_catches_up_before_it_acts(network):
    """A loop that stood still is a frozen process to its peers."""
    steps = {'running': threading.Event(), 'freeze': threading.Event()}
    seen = []

    async def run_other_loop(listed):
        async with open_control_fleet(network) as other:
            other.key_value.down = True
            other.instance_list = listed
            with trio.fail_after(LIMIT_S):
                await _run_in_thread(other, 3, steps, seen)

    with trio.fail_after(LIMIT_S):
        async with open_control_fleet(network) as fleet:
            third = fleet.instance(3)
            fleet.instance_list.instances[third.name] = third
            await _start(fleet, 3)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    trio.to_thread.run_sync,
                    trio.run,
                    run_other_loop,
                    fleet.instance_list,
                )
                await trio.to_thread.run_sync(steps['running'].wait, LIMIT_S)
                steps['freeze'].set()
                await trio.sleep(0.2)
                await fleet.wait_version(await fleet.accept(0.9))
    assert seen == ['refused', 0.9]


def test_lower_version_and_damaged_record_change_nothing():
    holder = ConfigHolder()
    with pytest.raises(ConfigurationError):
        holder.take(b'{"version": 3}')
    assert holder.version == 0


def _fleet_at_size():
    """350 instances with two processes each and 600 sidecars."""
    return [
        Process(
            peer=Peer(f'10.0.{number // 250}.{number % 250}', 7110),
            role=Role.ENTRY,
            failure_domain=f'domain-{number % 8}',
            region=f'region-{number % 8 // 4}',
        )
        for number in range(1300)
    ]


def _reached(processes, chosen):
    """Return how many processes a version reaches, and in how many hops."""
    edges = {process: set() for process in processes}
    for process in processes:
        for neighbour in edges.keys() & set(chosen[process]):
            edges[process].add(neighbour)
            edges[neighbour].add(process)
    found, hops, border = {processes[0]}, 0, {processes[0]}
    while border:
        border = set().union(*(edges[node] for node in border)) - found
        found |= border
        hops += bool(border)
    return len(found), hops


def test_neighbours_connect_all_that_are_left():
    """A region is cut off, and one of its failure domains is lost."""
    fleet = _fleet_at_size()
    chosen = {process: choose_neighbours(process, fleet) for process in fleet}
    region = [other for other in fleet if other.region == 'region-0']
    left = [other for other in region if other.failure_domain != 'domain-3']
    for processes in (fleet, region, left):
        reached, hops = _reached(processes, chosen)
        assert reached == len(processes)
        assert hops <= 8


def test_watchers_do_not_grow_with_the_fleet():
    fleet = _fleet_at_size()
    assert len(choose_watchers(fleet)) == 16
    assert len(choose_watchers(fleet[:80])) == 16
