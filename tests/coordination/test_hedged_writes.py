"""Tests of writes through a peer when the service does not respond here."""

import contextlib

import pytest
import trio

from briarrill.coordination.hedged_writes import WRITE_PATH, HedgedWrites
from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.state_transfer import StateTransfer
from briarrill.errors import PlatformUnavailableError, WriteUnknownError
from briarrill.protocol.load_reports import LoadReport
from briarrill.state.keys import JOB_BODIES_PREFIX, ROOT_PREFIX
from briarrill.transport.http_callers import serve_callers
from briarrill.transport.key_value import KeyChange
from standins.memory_key_value import MemoryKeyValue
from tests.serving import free_port

KEY = f'{JOB_BODIES_PREFIX}j1/000000'
CREATE = [KeyChange(KEY, b'job', mod_revision=0)]


class UnresponsiveService(MemoryKeyValue):
    """A service that never responds to a write."""

    async def transact(self, changes):
        await trio.sleep_forever()


def _load_exchange(*reports):
    load = LoadExchange('me', '127.0.0.1', 0, (), lambda report: report)
    for report in reports:
        load.receive_report(report)
    return load


@contextlib.asynccontextmanager
async def serve_peer(service):
    """Run a peer that writes to a service; yield its port."""
    port = free_port()
    writes = HedgedWrites(service, _load_exchange(), port)
    transfer = StateTransfer(
        {},
        writes.load,
        port,
        request_handlers={WRITE_PATH: writes.apply_peer_write},
    )
    async with serve_callers(
        ('127.0.0.1', port), transfer.caller_limits, transfer.serve
    ):
        with trio.fail_after(20):
            yield port


def _writes_with_peer(service, port):
    report = LoadReport('peer', '127.0.0.1', 1, 1, connected=(ROOT_PREFIX,))
    return HedgedWrites(service, _load_exchange(report), port)


async def test_confirmed_write_is_not_hedged():
    service = MemoryKeyValue()
    writes = _writes_with_peer(service, 1)
    assert await writes.write(CREATE) == 1
    assert await writes.write(CREATE) is None


async def test_unconfirmed_write_is_sent_through_a_peer():
    service = MemoryKeyValue()
    async with serve_peer(service) as port:
        writes = _writes_with_peer(UnresponsiveService(), port)
        assert await writes.write(CREATE) == 1
        assert await writes.write(CREATE) is None
    assert (await service.read(KEY)).body == b'job'


async def test_unreachable_peer_with_the_newest_revision_is_not_used():
    """Its reports are forwarded by another process around a cut link."""
    service = MemoryKeyValue()
    async with serve_peer(service) as port:
        writes = _writes_with_peer(UnresponsiveService(), port)
        unreachable_report = LoadReport(
            'far',
            '127.0.0.250',
            1,
            1,
            connected=(ROOT_PREFIX,),
            revisions={ROOT_PREFIX: 1000},
        )
        writes.load.receive_report(unreachable_report, is_direct=False)
        assert await writes.write(CREATE) == 1


async def test_failed_write_is_sent_through_a_peer():
    down_service, service = MemoryKeyValue(), MemoryKeyValue()
    down_service.is_down = True
    async with serve_peer(service) as port:
        assert await _writes_with_peer(down_service, port).write(CREATE) == 1


async def test_write_failed_here_and_at_the_peer_raises_unavailable():
    down_service = MemoryKeyValue()
    down_service.is_down = True
    async with serve_peer(down_service) as port:
        with pytest.raises(PlatformUnavailableError):
            await _writes_with_peer(down_service, port).write(CREATE)
    writes = HedgedWrites(down_service, _load_exchange(), 1)
    with pytest.raises(PlatformUnavailableError):
        await writes.write(CREATE)


async def test_write_unconfirmed_at_the_peer_raises_unknown():
    down_service, unconfirmed = MemoryKeyValue(), MemoryKeyValue()
    down_service.is_down = True
    unconfirmed.delay_writes = 1
    async with serve_peer(unconfirmed) as port:
        with pytest.raises(WriteUnknownError):
            await _writes_with_peer(down_service, port).write(CREATE)


async def test_peer_rejects_writes_of_keys_outside_the_allowed_prefixes():
    service = MemoryKeyValue()
    down_service = MemoryKeyValue()
    down_service.is_down = True
    async with serve_peer(service) as port:
        with pytest.raises(WriteUnknownError):
            await _writes_with_peer(down_service, port).write(
                [KeyChange(f'{ROOT_PREFIX}members/x', b'forged')]
            )
    assert service.revision == 0
