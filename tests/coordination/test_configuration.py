"""Tests of the propagation of configuration versions in a fleet.

Each accepted version reaches all processes, and none returns to a lower one.
"""

import threading
import time

import pytest
import trio

from briarrill.coordination.configuration import (
    MAX_PROCESS_PAUSE_S,
    ConfigHolder,
    Peer,
)
from briarrill.coordination.neighbours import (
    Process,
    choose_neighbours,
    choose_watchers,
)
from briarrill.errors import ConfigurationError, NotReadyError
from briarrill.state.configuration_cache import ConfigurationCache
from briarrill.transport.instance_list import Role
from standins.control_fleet import open_control_fleet

TEST_TIMEOUT_S = 30
FLEET_SIZE = 10


async def _start_fleet(fleet, count=FLEET_SIZE):
    """Accept version 1 and start processes that all receive it."""
    await fleet.accept_configuration(0.1)
    await fleet.add(count)
    await fleet.wait_in_force(1)


def _watchers(fleet):
    processes = {
        fleet.running[number].control._own_process: number
        for number in fleet.running
    }
    return [processes[chosen] for chosen in choose_watchers(processes)]


async def test_accepted_version_reaches_all_processes(network):
    with trio.fail_after(TEST_TIMEOUT_S):
        async with open_control_fleet(network) as fleet:
            await _start_fleet(fleet)
            await fleet.wait_in_force(await fleet.accept_configuration(0.2))


async def test_versions_reach_all_processes_with_a_tenth_of_messages_lost(
    network,
):
    with trio.fail_after(TEST_TIMEOUT_S):
        async with open_control_fleet(network, seed=7) as fleet:
            await _start_fleet(fleet)
            fleet.traffic.loss = 0.1
            for weight in (0.2, 0.3, 0.4):
                await fleet.wait_in_force(
                    await fleet.accept_configuration(weight)
                )


async def test_version_of_one_peer_reaches_all_without_service_and_watchers(
    network,
):
    """The service and all watchers are lost right after the acceptance."""
    with trio.fail_after(TEST_TIMEOUT_S):
        async with open_control_fleet(network) as fleet:
            await _start_fleet(fleet, 16)
            for number in _watchers(fleet):
                await fleet.running[number].stop()
            version = await fleet.accept_configuration(0.2)
            fleet.key_value.is_down = True
            receiver = next(iter(fleet.running.values())).control.config_holder
            raw = fleet.key_value._entries['briarrill/config/head'][0].body
            assert receiver.version == 1
            receiver.apply(raw)
            assert len(fleet.running) < 16
            await fleet.wait_in_force(version)


async def test_process_joining_during_an_outage_gets_the_highest_version(
    network,
):
    with trio.fail_after(TEST_TIMEOUT_S):
        async with open_control_fleet(network) as fleet:
            await _start_fleet(fleet)
            await fleet.wait_in_force(await fleet.accept_configuration(0.2))
            fleet.key_value.is_down = True
            await fleet.add(1)
            await fleet.running[FLEET_SIZE].control.wait_configured()
            assert fleet.running[FLEET_SIZE].version == 2


async def test_process_restarted_with_an_old_file_gets_the_highest_version(
    network, tmp_path
):
    saved_config = ConfigurationCache(tmp_path / 'data')
    with trio.fail_after(TEST_TIMEOUT_S):
        async with open_control_fleet(network) as fleet:
            await _start_fleet(fleet)
            await fleet.running[0].stop()
            saved_config.save(fleet.running[1].control.config_holder.raw)
            await fleet.wait_in_force(await fleet.accept_configuration(0.2))
            fleet.key_value.is_down = True
            node = await fleet.start(0, saved_config)
            await node.control.wait_configured()
            assert node.version == 2


async def test_version_is_read_from_the_file_after_all_processes_stopped(
    network, tmp_path
):
    """The key-value service is lost at the same time."""
    saved_config = ConfigurationCache(tmp_path / 'data')
    with trio.fail_after(TEST_TIMEOUT_S):
        async with open_control_fleet(network) as fleet:
            await fleet.accept_configuration(0.1)
            await fleet.add(2)
            await fleet.wait_in_force(1)
            await fleet.running[0].stop()
            await fleet.start(0, saved_config)
            while not saved_config.load():
                await trio.sleep(0.05)
            for node in list(fleet.running.values()):
                await node.stop()
            fleet.key_value.is_down = True
            node = await fleet.start(0, saved_config)
            await node.control.wait_configured()
            assert node.version == 1


async def test_process_without_a_version_raises_not_ready(network):
    with trio.fail_after(TEST_TIMEOUT_S):
        async with open_control_fleet(network) as fleet:
            fleet.key_value.is_down = True
            await fleet.add(2)
            with trio.move_on_after(0.5) as scope:
                await fleet.running[0].control.wait_configured()
            assert scope.cancelled_caught
            with pytest.raises(NotReadyError):
                fleet.running[0].control.config_holder.current.contracts.get(
                    'none'
                )


async def test_new_watchers_are_chosen_after_all_watchers_stop(network):
    with trio.fail_after(TEST_TIMEOUT_S):
        async with open_control_fleet(network) as fleet:
            await _start_fleet(fleet, 12)
            stopped = _watchers(fleet)
            assert len(stopped) == 6
            for number in stopped:
                fleet.instance_list.instances.pop(f'node-{number}')
                await fleet.running[number].stop()
            await fleet.wait_in_force(await fleet.accept_configuration(0.2))


async def test_connections_to_peers_removed_from_the_list_are_closed(
    network, monkeypatch
):
    monkeypatch.setattr(
        'briarrill.protocol.rpc.IDLE_CONNECTION_TIMEOUT_S', 0.5
    )
    with trio.fail_after(TEST_TIMEOUT_S):
        async with open_control_fleet(network) as fleet:
            await _start_fleet(fleet)
            assert len(fleet.running[0].pool) > 2
            for number in range(2, FLEET_SIZE):
                fleet.instance_list.instances.pop(f'node-{number}')
            while len(fleet.running[0].pool) > 1:
                await trio.sleep(0.1)


async def _run_in_thread(fleet, number, steps, observed):
    """Run a process on an event loop of its own and block the loop."""
    node = await fleet.start(number)
    await node.control.wait_configured()
    steps['running'].set()
    while not steps['freeze'].is_set():
        await trio.sleep(0.05)
    time.sleep(MAX_PROCESS_PAUSE_S + 0.5)
    try:
        observed.append(
            node.control.config_holder.current.policy.online_weight
        )
    except NotReadyError:
        observed.append('refused')
    while observed[-1] == 'refused':
        await trio.sleep(0.01)
        if not node.control.config_holder.was_paused:
            observed.append(
                node.control.config_holder.current.policy.online_weight
            )


async def test_paused_process_raises_not_ready_until_it_gets_the_new_version(
    network,
):
    """A blocked event loop stands for a paused process."""
    steps = {'running': threading.Event(), 'freeze': threading.Event()}
    observed = []

    async def run_other_loop(instance_list):
        async with open_control_fleet(network) as second_fleet:
            second_fleet.key_value.is_down = True
            second_fleet.instance_list = instance_list
            with trio.fail_after(TEST_TIMEOUT_S):
                await _run_in_thread(second_fleet, 3, steps, observed)

    with trio.fail_after(TEST_TIMEOUT_S):
        async with open_control_fleet(network) as fleet:
            paused_instance = fleet.instance(3)
            fleet.instance_list.instances[paused_instance.name] = (
                paused_instance
            )
            await _start_fleet(fleet, 3)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(
                    trio.to_thread.run_sync,
                    trio.run,
                    run_other_loop,
                    fleet.instance_list,
                )
                await trio.to_thread.run_sync(
                    steps['running'].wait, TEST_TIMEOUT_S
                )
                steps['freeze'].set()
                await trio.sleep(0.2)
                await fleet.wait_in_force(
                    await fleet.accept_configuration(0.9)
                )
    assert observed == ['refused', 0.9]


def test_malformed_record_leaves_the_version_unchanged():
    holder = ConfigHolder()
    with pytest.raises(ConfigurationError):
        holder.apply(b'{"version": 3}')
    assert holder.version == 0


def _large_fleet():
    """Return 350 instances with two processes each, and 600 sidecars."""
    return [
        Process(
            peer=Peer(f'10.0.{number // 250}.{number % 250}', 7110),
            role=Role.ENTRY,
            failure_domain=f'domain-{number % 8}',
            region=f'region-{number % 8 // 4}',
        )
        for number in range(1300)
    ]


def _count_reached(processes, chosen):
    """Return the number of processes that a version reaches, and the hops."""
    edges = {process: set() for process in processes}
    for process in processes:
        for neighbour in edges.keys() & set(chosen[process]):
            edges[process].add(neighbour)
            edges[neighbour].add(process)
    reached, hops, frontier = {processes[0]}, 0, {processes[0]}
    while frontier:
        frontier = set().union(*(edges[node] for node in frontier)) - reached
        reached |= frontier
        hops += bool(frontier)
    return len(reached), hops


def test_neighbours_connect_a_cut_off_region_without_one_failure_domain():
    """The complete fleet and the complete region are connected as well."""
    fleet = _large_fleet()
    chosen = {process: choose_neighbours(process, fleet) for process in fleet}
    region = [other for other in fleet if other.region == 'region-0']
    remaining = [
        other for other in region if other.failure_domain != 'domain-3'
    ]
    for processes in (fleet, region, remaining):
        reached, hops = _count_reached(processes, chosen)
        assert reached == len(processes)
        assert hops <= 8


def test_number_of_watchers_is_independent_of_the_fleet_size():
    fleet = _large_fleet()
    assert len(choose_watchers(fleet)) == 16
    assert len(choose_watchers(fleet[:80])) == 16
