"""The sidecar's online server when entries or upstreams fail."""

import os
import subprocess
import sys

import pytest
import trio

from briarrill.errors import (
    PeerUnreachableError,
    UpstreamLostError,
)
from briarrill.protocol.codec import decode, encode
from briarrill.protocol.messages import (
    CancelCall,
    Chunk,
    Finish,
    Heartbeat,
    Hello,
    Submit,
    Welcome,
)
from briarrill.result_codes import Ran, ResultCode
from briarrill.transport.zmq_socket import open_dealer

from .sidecar_setup import (
    PORT,
    ScriptedUpstream,
    make_request,
    open_sidecar,
    read_all,
    wait_until,
)


async def _open_session(dealer):
    """Open a session over a bare socket; return its welcome."""
    await wait_until(lambda: _try_send(dealer, Hello('entry-0', 'hobart-a')))
    return await _next_message(dealer, Welcome)


def _try_send(dealer, message):
    """Send a message; return whether the socket accepted it."""
    try:
        dealer.send(encode(message))
    except PeerUnreachableError:
        return False
    return True


async def _next_message(dealer, kind):
    """Return the next message of a type; skip others; fail after 10 s."""
    with trio.fail_after(10):
        while True:
            message = decode(await dealer.receive())
            if isinstance(message, kind):
                return message


def _submit(welcome, *, request_id='r1', attempt=0, idempotent=True, **kw):
    """Return a submit for the session of a welcome."""
    return Submit(
        session=welcome.session,
        request_id=request_id,
        attempt=attempt,
        contract='kinship',
        method='POST',
        path=f'/{request_id}',
        body=b'{}',
        idempotent=idempotent,
        peer_clock_s=welcome.clock_s,
        peer_clock_age_s=0,
        time_left_s=kw.get('time_left_s', 30.0),
    )


async def test_disconnected_entry_cancels_its_calls(network):
    upstream = ScriptedUpstream()
    upstream.make_chunks = upstream.send_endless_chunks
    async with open_sidecar(f'{network}.1', upstream) as setup:
        with open_dealer(setup.host, PORT) as dealer:
            welcome = await _open_session(dealer)
            for request_id in ('r1', 'r2', 'r3'):
                dealer.send(encode(_submit(welcome, request_id=request_id)))
            await wait_until(lambda: upstream.open_calls == 2)
        await wait_until(lambda: not upstream.open_calls)
        await wait_until(lambda: not setup.server.in_flight)
        assert setup.server.admission.free_slots == 2


async def test_cancel_directly_after_submit_ends_the_call(network):
    upstream = ScriptedUpstream()
    upstream.make_chunks = upstream.send_endless_chunks
    async with open_sidecar(f'{network}.1', upstream) as setup:
        with open_dealer(setup.host, PORT) as dealer:
            welcome = await _open_session(dealer)
            for number in range(50):
                request_id = f'r{number}'
                submit = _submit(welcome, request_id=request_id)
                dealer.send(encode(submit))
                dealer.send(encode(CancelCall(request_id, 0)))
            expired_submit = _submit(welcome, request_id='end', time_left_s=0)
            dealer.send(encode(expired_submit))
            await _next_message(dealer, Finish)
            await wait_until(lambda: not setup.server.in_flight)


async def test_duplicate_submit_of_a_running_call_is_ignored(network):
    release = trio.Event()

    async def send_chunks(req):
        yield b'one'
        await release.wait()
        yield b'two'

    async with open_sidecar(
        f'{network}.1', ScriptedUpstream(send_chunks)
    ) as setup:
        with open_dealer(setup.host, PORT) as dealer:
            welcome = await _open_session(dealer)
            dealer.send(encode(_submit(welcome)))
            await _next_message(dealer, Chunk)
            dealer.send(encode(_submit(welcome)))
            await _next_message(dealer, Heartbeat)
            release.set()
            chunk = await _next_message(dealer, (Chunk, Finish))
            assert (chunk.seq, chunk.body) == (1, b'two')
            finish = await _next_message(dealer, Finish)
            assert (finish.code, finish.chunks) == (ResultCode.OK, 2)
        assert setup.upstream.called_paths == ['/r1']


@pytest.mark.parametrize('attempt', [0, 1])
async def test_repeated_non_idempotent_request_is_rejected_as_duplicate(
    network, attempt
):
    async with open_sidecar(f'{network}.1', ScriptedUpstream()) as setup:
        with open_dealer(setup.host, PORT) as dealer:
            welcome = await _open_session(dealer)
            dealer.send(encode(_submit(welcome, idempotent=False)))
            assert (await _next_message(dealer, Finish)).ran is Ran.YES
            again = _submit(welcome, attempt=attempt, idempotent=False)
            dealer.send(encode(again))
            finish = await _next_message(dealer, Finish)
            assert finish.code is ResultCode.DUPLICATE
            assert finish.ran is Ran.UNKNOWN
        assert setup.upstream.called_paths == ['/r1']


async def test_rejected_non_idempotent_request_runs_only_as_a_new_attempt(
    network,
):
    async with open_sidecar(
        f'{network}.1', ScriptedUpstream(), queue=0
    ) as setup:
        with open_dealer(setup.host, PORT) as dealer:
            welcome = await _open_session(dealer)
            async with (
                setup.server.admission.online_slot('other'),
                setup.server.admission.online_slot('other'),
            ):
                dealer.send(encode(_submit(welcome, idempotent=False)))
                rejection = await _next_message(dealer, Finish)
            assert (rejection.code, rejection.ran) == (
                ResultCode.OVERLOADED,
                Ran.NO,
            )
            for attempt in (1, 0):
                again = _submit(welcome, attempt=attempt, idempotent=False)
                dealer.send(encode(again))
                last = await _next_message(dealer, Finish)
        assert last.code is ResultCode.DUPLICATE
        assert setup.upstream.called_paths == ['/r1']


async def test_submit_read_after_its_deadline_is_rejected(network):
    """The process is suspended while the submit is in its buffer."""
    host = f'{network}.1'
    upstream = ScriptedUpstream()
    async with open_sidecar(host, upstream) as setup:
        with open_dealer(host, PORT) as dealer:
            welcome = await _open_session(dealer)
            dealer.send(encode(_submit(welcome, time_left_s=0.2)))
            _suspend_process(0.4)
            finish = await _next_message(dealer, Finish)
            assert finish.code is ResultCode.DEADLINE_UNREACHABLE
            assert finish.ran is Ran.NO
        assert not upstream.called_paths
        assert not setup.server.in_flight


def _suspend_process(seconds):
    """Suspend this process with SIGSTOP for a number of seconds."""
    command = (
        'import os, signal, sys, time;'
        'pid = int(sys.argv[1]); os.kill(pid, signal.SIGSTOP);'
        'time.sleep(float(sys.argv[2])); os.kill(pid, signal.SIGCONT)'
    )
    subprocess.run(
        [sys.executable, '-c', command, str(os.getpid()), str(seconds)],
        check=True,
    )


async def test_entry_that_does_not_read_blocks_upstream_then_loses_session(
    network, monkeypatch
):
    """A full queue blocks reads from the upstream, then ends the session."""
    chunks_sent = []

    async def send_large_chunks(req):
        while True:
            chunks_sent.append(req)
            yield bytes(10_000)
            await trio.lowlevel.checkpoint()

    monkeypatch.setattr(
        'briarrill.sidecar.entry_sessions.SLOW_READER_TIMEOUT_S', 0.3
    )
    async with open_sidecar(
        f'{network}.1', ScriptedUpstream(send_large_chunks)
    ) as setup:
        with open_dealer(setup.host, PORT) as dealer:
            welcome = await _open_session(dealer)
            dealer.send(encode(_submit(welcome)))
            await wait_until(
                lambda: chunks_sent and not setup.server.in_flight
            )
            assert not setup.upstream.open_calls
            # the sent chunks arrive in order, without a finish after them
            for seq in range(len(chunks_sent) - 1):
                assert (
                    await _next_message(dealer, (Chunk, Finish))
                ).seq == seq
            with trio.move_on_after(0.5) as no_more_messages:
                await _next_message(dealer, (Chunk, Finish))
            assert no_more_messages.cancelled_caught


async def test_slow_entry_receives_every_chunk_in_order(network):
    count = 6000

    async def send_chunks(req):
        for _ in range(count):
            yield bytes(2000)

    async with open_sidecar(
        f'{network}.1', ScriptedUpstream(send_chunks)
    ) as setup:
        with open_dealer(setup.host, PORT) as dealer:
            welcome = await _open_session(dealer)
            dealer.send(encode(_submit(welcome)))
            await trio.sleep(0.2)
            seqs = []
            while not isinstance(
                message := await _next_message(dealer, (Chunk, Finish)), Finish
            ):
                seqs.append(message.seq)
        assert seqs == list(range(count))
        assert message.chunks == count


async def test_unexpected_exception_ends_only_its_own_call(network):
    async def send_chunks(req):
        yield b'one'
        raise ZeroDivisionError

    async with (
        open_sidecar(f'{network}.1', ScriptedUpstream(send_chunks)) as setup,
        setup.open_link() as link,
    ):
        _, finish = await read_all(link.submit(make_request('r1'), 0))
        assert (finish.code, finish.ran) == (ResultCode.INTERNAL, Ran.YES)
        setup.upstream.make_chunks = setup.upstream.send_one_chunk
        _, finish = await read_all(link.submit(make_request('r2'), 0))
        assert finish.code is ResultCode.OK


async def test_draining_server_rejects_new_calls_and_finishes_running_ones(
    network,
):
    release = trio.Event()

    async def send_chunks(req):
        yield b'one'
        await release.wait()
        yield b'two'

    async with (
        open_sidecar(f'{network}.1', ScriptedUpstream(send_chunks)) as setup,
        setup.open_link() as link,
    ):
        running = link.submit(make_request('r1'), 0)
        await wait_until(lambda: setup.upstream.open_calls)
        setup.readiness.begin_drain()
        _, rejection = await read_all(link.submit(make_request('r2'), 0))
        assert (rejection.code, rejection.ran) == (
            ResultCode.DRAINING,
            Ran.NO,
        )
        setup.server.broadcast_heartbeat()
        await wait_until(lambda: not link.is_usable)
        release.set()
        chunks, finish = await read_all(running)
        assert chunks == [b'one', b'two']
        assert finish.code is ResultCode.OK
    assert setup.upstream.called_paths == ['/r1']


async def test_missing_heartbeats_raise_upstream_lost_for_open_calls(network):
    upstream = ScriptedUpstream()
    upstream.make_chunks = upstream.send_endless_chunks
    async with (
        open_sidecar(f'{network}.1', upstream) as setup,
        setup.open_link() as link,
    ):
        call = link.submit(make_request(), 0)
        await call.next_chunk()
        setup.server.broadcast_heartbeat = lambda: None
        with pytest.raises(UpstreamLostError):
            await read_all(call)
