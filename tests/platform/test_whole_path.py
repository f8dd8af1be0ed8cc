"""Tests of entry and batch processes against stand-in store and upstreams."""

import json
import signal

import pytest
import trio

from briarrill.transport.http_callers import serve_callers
from briarrill.transport.http_messages import RequestHead
from standins.platform_engine import (
    StandinEngine,
    encode_event,
    respond_leaving,
    respond_with,
    stream_events,
)
from standins.platform_store import StandinStore
from tests.platform.platform_fleet import (
    FRONT_PORT,
    STORE_PORT,
    Fleet,
    register_upstream,
    send_request_to,
    start_process,
    store_routes,
    wait_ready,
)

EXPECTED_OUTPUT = '\n'.join(f'word-{number}' for number in range(1, 6))


@pytest.fixture
async def fleet(network, tmp_path):
    store, engine = (
        StandinStore(),
        StandinEngine(stream_events(5, pause_s=0.01)),
    )
    store_routes(store)
    register_upstream(store, 'i-1', f'{network}.9')
    async with (
        serve_callers(
            (f'{network}.1', STORE_PORT), store.caller_limits, store.serve
        ),
        serve_callers(
            (f'{network}.9', 8080), engine.caller_limits, engine.serve
        ),
    ):
        processes = {
            'entry': await start_process(network, tmp_path, 'entry', 2),
            'batch': await start_process(network, tmp_path, 'batch', 3),
        }
        try:
            with trio.fail_after(40):
                await wait_ready(f'{network}.2')
                yield Fleet(network, store, engine, processes)
        finally:
            for process in processes.values():
                process.kill()
                await process.wait()


async def test_stream_and_job_complete_end_to_end(fleet):
    status, body = await fleet.send_request('POST', '/online/x', b'prompt')
    assert (status, body) == (
        200,
        b''.join(encode_event(number) for number in range(1, 6)),
    )
    assert await fleet.submit('j1', 3) == 202
    assert await fleet.submit('j1', 3) == 202
    page = await fleet.read_results('j1', 3)
    assert page['total'] == page['next_token'] == 3
    assert {entry['output'] for entry in page['results']} == {EXPECTED_OUTPUT}
    assert {entry['id'] for entry in page['results']} == {
        'j1-0',
        'j1-1',
        'j1-2',
    }
    items = [
        req for req in fleet.engine.requests if req.head.path != '/online/x'
    ]
    assert len(items) == 3
    assert {req.body for req in items} == {b'prompt'}


async def test_job_above_limit_is_rejected_until_ended_job_frees_room(fleet):
    fleet.engine.behaviours = [stream_events(10_000, pause_s=0.02)]
    assert await fleet.submit('big', 2, tokens=400) == 202
    assert await fleet.submit('more', 1, tokens=400) == 429
    while len(fleet.engine.requests) < 2:
        await trio.sleep(0.02)
    status, body = await fleet.send_request('GET', '/items/big?id=big-0')
    assert (status, body) == (200, b'prompt')
    assert (await fleet.send_request('DELETE', '/lots/big'))[0] == 200
    assert (await fleet.send_request('DELETE', '/lots/big'))[0] == 200
    while fleet.engine.disconnects < 2:
        await trio.sleep(0.02)
    assert (await fleet.send_request('GET', '/items/big?id=big-0'))[0] == 404
    assert await fleet.submit('more', 1, tokens=400) == 202


async def test_impossible_and_failing_items_end_as_errored(fleet):
    fleet.engine.behaviours = [respond_with(b'', 422), respond_with(b'', 500)]
    assert await fleet.submit('bad', 1) == 202
    (first,) = (await fleet.read_results('bad', 1))['results']
    assert first['state'] == 'errored'
    assert len(fleet.engine.requests) == 1
    assert await fleet.submit('worse', 1) == 202
    (second,) = (await fleet.read_results('worse', 1))['results']
    assert second['state'] == 'errored'
    assert len(fleet.engine.requests) == 3


async def test_store_outage_fails_job_writes_and_keeps_known_results(fleet):
    assert (await fleet.send_request('GET', '/lots/none?after=0'))[0] == 404
    assert await fleet.submit('j1', 1) == 202
    await fleet.read_results('j1', 1)
    fleet.store.error_status = 503
    assert (await fleet.send_request('GET', '/lots/none?after=0'))[0] == 503
    assert await fleet.submit('j2', 1) == 503
    status, body = await fleet.send_request('GET', '/lots/j1?after=0')
    assert (status, len(json.loads(body)['results'])) == (200, 1)
    assert (await fleet.send_request('POST', '/online/x', b'prompt'))[0] == 200


async def test_graceful_stop_completes_running_stream_and_item(fleet):
    fleet.engine.behaviours = [stream_events(40, pause_s=0.02)]
    responses = {}

    async def send_request():
        responses['stream'] = await fleet.send_request(
            'POST', '/online/x', b'prompt'
        )

    assert await fleet.submit('j1', 1) == 202
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_request)
        while len(fleet.engine.requests) < 2:
            await trio.sleep(0.01)
        for process in fleet.processes.values():
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
        await trio.sleep(0.2)
        for process in fleet.processes.values():
            process.send_signal(signal.SIGHUP)
            process.send_signal(signal.SIGTERM)
    status, body = responses['stream']
    assert (status, body.count(b'data:')) == (200, 40)
    for process in fleet.processes.values():
        assert await process.wait() == 0
    keys = [key for key in fleet.store.entries if 'job-results/j1/' in key]
    assert len(keys) == 1


async def test_signals_do_not_end_a_process_until_it_has_ended(fleet):
    for process in fleet.processes.values():
        while process.poll() is None:
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGHUP)
            await trio.sleep(0.002)
    assert [one.returncode for one in fleet.processes.values()] == [0, 0]


async def test_entry_ends_though_a_connection_stays_idle(fleet, tmp_path):
    """The connection is opened when others have been closed as idle."""
    opened = trio.Event()

    async def end_once_opened(req, conn):
        await opened.wait()
        await stream_events(1)(req, conn)

    fleet.engine.behaviours = [end_once_opened, stream_events(1)]
    entry = fleet.processes['entry']
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.send_request, 'POST', '/online/x', b'')
        while not fleet.engine.requests:
            await trio.sleep(0.01)
        entry.send_signal(signal.SIGTERM)
        status = 0
        while status != 503:
            await trio.sleep(0.05)
            status, _ = await fleet.send_request('POST', '/online/y', b'')
        with trio.socket.socket() as idle:
            await idle.connect((f'{fleet.network}.2', FRONT_PORT))
            opened.set()
            assert await entry.wait() == 0
    log = (tmp_path / 'entry-2.log').read_text(encoding='utf-8')
    assert 'drain:ended' in log


async def test_entry_started_in_store_outage_syncs_from_peers(fleet, tmp_path):
    fleet.store.error_status = 503
    host = f'{fleet.network}.4'
    process = await start_process(fleet.network, tmp_path, 'entry', 4)
    fleet.processes['second'] = process
    await wait_ready(host)
    address = (host, FRONT_PORT)
    head = RequestHead(
        b'POST',
        b'/online/x',
        ((b'host', b'h'), (b'briarrill-attempt-id', b'r2')),
    )
    status, _ = await send_request_to(address, head)
    assert status == 200


async def test_leaving_upstream_gets_no_requests_while_the_store_is_away(
    fleet, tmp_path
):
    """Its announcement reaches peers, and processes that start later."""
    fleet.engine.behaviours = [respond_leaving(encode_event(1))]
    other = StandinEngine(respond_with(encode_event(1)))
    other_host = f'{fleet.network}.8'
    fleet.register_upstream('i-2', other_host)
    async with serve_callers(
        (other_host, 8080), other.caller_limits, other.serve
    ):
        while not (other.requests and fleet.engine.requests):
            await fleet.send_request('POST', '/online/x', b'prompt')
            fleet.store.error_status = 503 if other.requests else 0
        fleet.store.error_status = 503
        for _ in range(10):
            await fleet.send_request('POST', '/online/x', b'prompt')
        assert len(fleet.engine.requests) == 1
        process = await start_process(fleet.network, tmp_path, 'entry', 4)
        fleet.processes['second'] = process
        await wait_ready(f'{fleet.network}.4')
        head = RequestHead(
            b'POST',
            b'/online/x',
            ((b'host', b'h'), (b'briarrill-attempt-id', b'r2')),
        )
        for _ in range(10):
            await send_request_to((f'{fleet.network}.4', FRONT_PORT), head)
        assert len(fleet.engine.requests) == 1
        assert len(other.requests) > 20
