"""A process that starts while the service is away learns from a peer."""

import trio

from briarrill.coordination import state_transfer
from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.mirror import Mirror
from briarrill.coordination.state_transfer import StateTransfer
from briarrill.protocol.load_reports import LoadReport
from briarrill.transport.http_callers import serve_callers
from briarrill.transport.key_value import KeyChange
from standins.memory_key_value import MemoryKeyValue
from tests.coordination.test_mirror import Seen
from tests.serving import free_port


def _exchange(name, host):
    return LoadExchange(name, host, 0, (), lambda report: report)


async def test_state_comes_from_the_peer_that_has_seen_most(
    network, monkeypatch
):
    monkeypatch.setattr(state_transfer, 'PATIENCE_S', 0)
    port = free_port()
    service = MemoryKeyValue()
    await service.transact([KeyChange('op/x', b'one')])
    peer = Mirror(service, 'op/', Seen(), keeps_bodies=True)
    away = MemoryKeyValue()
    away.down = True
    seen = Seen()
    own = Mirror(away, 'op/', seen)
    load = _exchange('new', f'{network}.2')
    offered = StateTransfer({'op/': peer}, _exchange('old', network), port)
    taken = StateTransfer({'op/': own}, load, port)
    address = (f'{network}.1', port)
    async with (
        serve_callers(address, offered.bounds, offered.serve),
        trio.open_nursery() as nursery,
    ):
        nursery.start_soon(peer.run)
        nursery.start_soon(own.run)
        nursery.start_soon(taken.run)
        await peer.synced.wait()
        load.take_report(
            LoadReport(
                'old', f'{network}.1', 1, 1, revisions={'op/': peer.revision}
            )
        )
        with trio.fail_after(5):
            await own.synced.wait()
        nursery.cancel_scope.cancel()
    assert seen.keys == {'op/x': b'one'}
