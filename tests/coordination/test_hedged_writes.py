"""Writes that the service does not answer here, but at a peer."""

import contextlib

import pytest
import trio

from briarrill.coordination.hedged_writes import WRITE_PATH, HedgedWrites
from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.state_transfer import StateTransfer
from briarrill.errors import PlatformUnavailableError, WriteUnknownError
from briarrill.protocol.load_reports import LoadReport
from briarrill.state.keys import JOB_BODIES, ROOT
from briarrill.transport.http_callers import serve_callers
from briarrill.transport.key_value import KeyChange
from standins.memory_key_value import MemoryKeyValue
from tests.serving import free_port

KEY = f'{JOB_BODIES}j1/000000'
CREATE = [KeyChange(KEY, b'job', mod_revision=0)]


class Silent(MemoryKeyValue):
    """A service that never answers this instance."""

    async def transact(self, changes):
        await trio.sleep_forever()


def _exchange(*reports):
    load = LoadExchange('me', '127.0.0.1', 0, (), lambda report: report)
    for report in reports:
        load.take_report(report)
    return load


@contextlib.asynccontextmanager
async def peer(service):
    """Serve a peer that writes to a service; return its port."""
    port = free_port()
    writes = HedgedWrites(service, _exchange(), port)
    served = StateTransfer(
        {}, writes.load, port, actions={WRITE_PATH: writes.take}
    )
    async with serve_callers(('127.0.0.1', port), served.bounds, served.serve):
        with trio.fail_after(20):
            yield port


def _beside_peer(service, port):
    report = LoadReport('peer', '127.0.0.1', 1, 1, connected=(ROOT,))
    return HedgedWrites(service, _exchange(report), port)


async def test_peer_is_not_asked_when_the_service_answers():
    service = MemoryKeyValue()
    writes = _beside_peer(service, 1)
    assert await writes.write(CREATE) == 1
    assert await writes.write(CREATE) is None


async def test_silent_service_is_written_through_a_peer():
    service = MemoryKeyValue()
    async with peer(service) as port:
        writes = _beside_peer(Silent(), port)
        assert await writes.write(CREATE) == 1
        assert await writes.write(CREATE) is None
    assert (await service.read(KEY)).body == b'job'


async def test_peer_that_is_cut_off_is_not_asked():
    """Its reports come around the cut, and it knows most."""
    service = MemoryKeyValue()
    async with peer(service) as port:
        writes = _beside_peer(Silent(), port)
        far = LoadReport(
            'far',
            '127.0.0.250',
            1,
            1,
            connected=(ROOT,),
            revisions={ROOT: 1000},
        )
        writes.load.take_report(far, is_direct=False)
        assert await writes.write(CREATE) == 1


async def test_refusal_here_goes_to_the_peer_at_once():
    refusing, service = MemoryKeyValue(), MemoryKeyValue()
    refusing.down = True
    async with peer(service) as port:
        assert await _beside_peer(refusing, port).write(CREATE) == 1


async def test_refused_here_and_there_was_not_written():
    refusing = MemoryKeyValue()
    refusing.down = True
    async with peer(refusing) as port:
        with pytest.raises(PlatformUnavailableError):
            await _beside_peer(refusing, port).write(CREATE)
    writes = HedgedWrites(refusing, _exchange(), 1)
    with pytest.raises(PlatformUnavailableError):
        await writes.write(CREATE)


async def test_write_lost_at_the_peer_is_unknown():
    refusing, losing = MemoryKeyValue(), MemoryKeyValue()
    refusing.down = True
    losing.delay_writes = 1
    async with peer(losing) as port:
        with pytest.raises(WriteUnknownError):
            await _beside_peer(refusing, port).write(CREATE)


async def test_keys_of_others_are_not_written_for_peers():
    service = MemoryKeyValue()
    refusing = MemoryKeyValue()
    refusing.down = True
    async with peer(service) as port:
        with pytest.raises(WriteUnknownError):
            await _beside_peer(refusing, port).write(
                [KeyChange(f'{ROOT}members/x', b'forged')]
            )
    assert service.revision == 0
