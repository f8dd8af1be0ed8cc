"""Tests of a process's registration while writes are delayed."""

import trio

from briarrill.coordination import registration
from briarrill.coordination.registration import hold_registration
from standins.memory_key_value import MemoryKeyValue

KEY = 'briarrill/members/me'


def lease_of(service):
    """Return the lease that the registration is attached to."""
    return service._entries[KEY][1]


async def test_delayed_write_does_not_replace_a_later_registration(
    autojump_clock,
):
    """The key would go with a lease that nobody renews."""
    service = MemoryKeyValue()
    service.delay_writes = 1
    async with hold_registration(service, KEY, '127.0.0.1'):
        while KEY not in service._entries:
            await trio.sleep(0.1)
        lease = lease_of(service)
        service.apply_delayed_writes()
        assert lease_of(service) == lease
        # all leases but the one that the process renews end
        for other in set(service._leases) - {lease}:
            service.expire_lease(other)
        await trio.sleep(2 * registration.REGISTRATION_TTL_S)
        assert KEY in service._entries


async def test_restarted_process_replaces_the_registration_of_before(
    autojump_clock,
):
    service = MemoryKeyValue()
    for host in ('127.0.0.1', '127.0.0.2'):
        async with hold_registration(service, KEY, host):
            await trio.sleep(1)
            assert (await service.read(KEY)).body == host.encode()


async def test_expired_lease_is_replaced(autojump_clock):
    service = MemoryKeyValue()
    async with hold_registration(service, KEY, '127.0.0.1'):
        await trio.sleep(1)
        service.expire_lease(lease_of(service))
        await trio.sleep(registration.REGISTRATION_TTL_S)
        assert KEY in service._entries
