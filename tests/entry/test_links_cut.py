"""A connection that is cut between one entry and one sidecar only."""

import contextlib

import attrs
import pytest
import trio

from briarrill.errors import OutcomeUnknownError, PeerUnreachableError
from briarrill.protocol.messages import LoadReport

PORT = 7130


class Forwarder:
    """Forwards TCP connections until it is cut."""

    def __init__(self, host, target):
        self.host = host
        self._target = target
        self._scope = trio.CancelScope()
        self._is_silent = False

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        with self._scope:
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(PORT, host=self.host)
                nursery.start_soon(
                    trio.serve_listeners, self._forward, listeners
                )
                task_status.started()

    def close(self):
        """Close the connections and refuse new ones."""
        self._scope.cancel()

    def swallow(self):
        """Keep the connections open and lose what they carry."""
        self._is_silent = True

    async def _forward(self, stream):
        target = await trio.open_tcp_stream(self._target, PORT)
        async with target, trio.open_nursery() as nursery:
            nursery.start_soon(self._pump, stream, target)
            await self._pump(target, stream)
            nursery.cancel_scope.cancel()

    async def _pump(self, source, sink):
        async for part in source:
            if not self._is_silent:
                await sink.send_all(part)


@pytest.mark.parametrize('manner', ['close', 'swallow'])
async def test_cut_link_takes_the_upstream_from_one_entry_only(
    open_entry, sidecars, make_request, make_instance, network, manner
):
    first, second = sidecars[:2]
    # the choice falls on the first as long as it can be reached
    second.load = LoadReport(slots=4, online_queued=100)
    direct = make_instance(first)
    via = Forwarder(f'{network}.9', first.host)
    detour = attrs.evolve(direct, host=via.host)
    listed = [detour, make_instance(second)]
    async with trio.open_nursery() as nursery:
        await nursery.start(via.run)
        async with (
            open_entry([first, second], instances=listed) as cut,
            open_entry([], instances=[direct]) as other,
        ):
            await _wait_serving(other, 1)
            nursery.start_soon(_answer_all, second)
            once = make_request('once', idempotent=False)
            async with trio.open_nursery() as waiting:
                waiting.start_soon(_expect_unknown, cut.dispatcher, once)
                await first.next_submit()
                getattr(via, manner)()
            await _wait_serving(cut, 1)
            for number in range(10):
                req = make_request(f'elsewhere-{number}')
                (await cut.dispatcher.open(req)).close()
            assert [submit.request_id for submit in first.submits] == ['once']
            # the other entry goes on with it
            nursery.start_soon(_answer_all, first)
            (await other.dispatcher.open(make_request('still'))).close()
            assert first.submits[-1].request_id == 'still'
        nursery.cancel_scope.cancel()


async def _expect_unknown(dispatcher, req):
    with pytest.raises(OutcomeUnknownError):
        await dispatcher.open(req)


async def _wait_serving(entry, count):
    while len(entry.upstreams.serving('m')) != count:
        await trio.sleep(0.01)


async def _answer_all(sidecar):
    count = 0
    while True:
        count += 1
        submit = await sidecar.next_submit(count)
        with contextlib.suppress(PeerUnreachableError):
            sidecar.finish(submit)
