"""Network faults between one entry and one sidecar."""

import contextlib

import attrs
import pytest
import trio

from briarrill.errors import OutcomeUnknownError, PeerUnreachableError
from briarrill.protocol.messages import LoadReport

PORT = 7130


class Forwarder:
    """Forwards TCP connections to a sidecar and injects network faults."""

    def __init__(self, host, target):
        self.host = host
        self._target = target
        self._scope = trio.CancelScope()
        self._is_discarding = False

    async def run(self, task_status=trio.TASK_STATUS_IGNORED):
        with self._scope:
            async with trio.open_nursery() as nursery:
                listeners = await trio.open_tcp_listeners(PORT, host=self.host)
                nursery.start_soon(
                    trio.serve_listeners, self._forward, listeners
                )
                task_status.started()

    def drop_connections(self):
        """Close all connections and refuse new ones."""
        self._scope.cancel()

    def discard_bytes(self):
        """Keep the connections open and discard the bytes sent over them."""
        self._is_discarding = True

    async def _forward(self, stream):
        target = await trio.open_tcp_stream(self._target, PORT)
        async with target, trio.open_nursery() as nursery:
            nursery.start_soon(self._copy, stream, target)
            await self._copy(target, stream)
            nursery.cancel_scope.cancel()

    async def _copy(self, source, sink):
        """Copy bytes from one stream to the other, or discard them."""
        async for part in source:
            if not self._is_discarding:
                await sink.send_all(part)


@pytest.mark.parametrize('fault', ['drop_connections', 'discard_bytes'])
async def test_link_fault_makes_upstream_unusable_for_one_entry_only(
    open_entry, sidecars, make_request, make_instance, network, fault
):
    first, second = sidecars[:2]
    # a high load: the policy prefers the first upstream while usable
    second.load = LoadReport(slots=4, online_queued=100)
    direct = make_instance(first)
    forwarder = Forwarder(f'{network}.9', first.host)
    forwarded = attrs.evolve(direct, host=forwarder.host)
    listed = [forwarded, make_instance(second)]
    async with trio.open_nursery() as nursery:
        await nursery.start(forwarder.run)
        async with (
            open_entry([first, second], instances=listed) as cut_entry,
            open_entry([], instances=[direct]) as other_entry,
        ):
            await _wait_usable_count(other_entry, 1)
            nursery.start_soon(_finish_all, second)
            non_idempotent = make_request('once', idempotent=False)
            async with trio.open_nursery() as waiting:
                waiting.start_soon(
                    _expect_outcome_unknown,
                    cut_entry.dispatcher,
                    non_idempotent,
                )
                await first.wait_submit()
                getattr(forwarder, fault)()
            await _wait_usable_count(cut_entry, 1)
            for number in range(10):
                req = make_request(f'elsewhere-{number}')
                (await cut_entry.dispatcher.dispatch(req)).close()
            assert [submit.request_id for submit in first.submits] == ['once']
            # the other entry still reaches the first upstream
            nursery.start_soon(_finish_all, first)
            (
                await other_entry.dispatcher.dispatch(make_request('still'))
            ).close()
            assert first.submits[-1].request_id == 'still'
        nursery.cancel_scope.cancel()


async def _expect_outcome_unknown(dispatcher, req):
    with pytest.raises(OutcomeUnknownError):
        await dispatcher.dispatch(req)


async def _wait_usable_count(entry, count):
    """Wait until an entry has this many usable links."""
    while len(entry.upstreams.serving('m')) != count:
        await trio.sleep(0.01)


async def _finish_all(sidecar):
    """Finish each submit at a sidecar."""
    count = 0
    while True:
        count += 1
        submit = await sidecar.wait_submit(count)
        with contextlib.suppress(PeerUnreachableError):
            sidecar.send_finish(submit)
