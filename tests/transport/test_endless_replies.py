"""Services and peers that send bytes without end."""

import gzip
import tracemalloc
import types

import httpx
import pytest
import trio

from briarrill.coordination import state_transfer
from briarrill.coordination.state_transfer import request_from_peer
from briarrill.errors import BriarrillError, PlatformUnavailableError
from briarrill.platform import store as store_module
from briarrill.platform.store import PlatformStore
from briarrill.transport import bounded_http, etcd, instance_list
from briarrill.transport.etcd import EtcdService
from briarrill.transport.instance_list import InstanceList
from briarrill.transport.key_value import KeyChange
from tests.endless_engine import (
    ENDLESS_RESPONSES,
    MAX_SENT_BYTES,
    EndlessEngine,
    dribbling_engine,
    every_endless_response,
)
from tests.serving import serve_standin

LIMIT_S = 0.4
MAX_BYTES = 100_000
MAX_WAIT_S = 8
MAX_CALLS = 5

every_engine = pytest.mark.parametrize(
    'make_engine', [EndlessEngine, dribbling_engine]
)

CHANGE = KeyChange('k', b'one', mod_revision=0)


@pytest.fixture(autouse=True)
def short_limits(monkeypatch):
    """Have the limits reached soon; that there are limits is the same."""
    for module in (etcd, instance_list, store_module):
        monkeypatch.setattr(module, 'CALL_TIMEOUT_S', LIMIT_S)
        monkeypatch.setattr(module, 'MAX_REPLY_BYTES', MAX_BYTES)
    monkeypatch.setattr(etcd, 'WATCH_LINE_TIMEOUT_S', LIMIT_S)
    monkeypatch.setattr(state_transfer, 'MAX_STATE_BYTES', MAX_BYTES)


async def _drain(changes):
    async for change in changes:
        assert change is not None


async def _call_until_error(network, engine, call):
    """Make a call to an endless service; return its error.

    A call whose time was up before the service had its request shows nothing,
    so that another is made.
    """
    async with serve_standin(engine, (f'{network}.1', 8080)) as address:
        for _ in range(MAX_CALLS):
            with (
                trio.fail_after(MAX_WAIT_S),
                pytest.raises(Exception) as caught,
            ):
                await call(address)
            if engine.has_answered:
                break
        assert engine.has_answered
        with trio.fail_after(MAX_WAIT_S):
            while not engine.is_cut:
                await trio.sleep(0.01)
    assert engine.sent_bytes < MAX_SENT_BYTES
    return caught.value


@every_endless_response
@every_engine
async def test_endless_reply_of_the_store_ends(network, kind, make_engine):
    for name in ('read', 'read_prefix'):
        engine = make_engine(kind)

        async def call(address, name=name):
            await getattr(PlatformStore(address), name)('k')

        error = await _call_until_error(network, engine, call)
        assert isinstance(error, PlatformUnavailableError)


@every_endless_response
@every_engine
async def test_endless_reply_to_a_watch_ends(network, kind, make_engine):
    async def call(address):
        await _drain(PlatformStore(address).follow_prefix('k'))

    engine = make_engine(kind)
    error = await _call_until_error(network, engine, call)
    assert isinstance(error, PlatformUnavailableError)


@every_endless_response
@every_engine
async def test_endless_reply_to_a_write_ends(network, kind, make_engine):
    async def call(address):
        await PlatformStore(address).transact([CHANGE])

    engine = make_engine(kind)
    error = await _call_until_error(network, engine, call)
    assert isinstance(error, BriarrillError)


@every_endless_response
@every_engine
async def test_endless_reply_of_a_peer_ends(network, kind, make_engine):
    async def call(address):
        with trio.fail_after(state_transfer.FETCH_TIMEOUT_S):
            await request_from_peer(address, '/state/x?after=0')

    engine = make_engine(kind)
    error = await _call_until_error(network, engine, call)
    assert isinstance(error, BriarrillError | trio.TooSlowError)


async def test_call_whose_time_was_up_too_early_is_made_again(network):
    engine = EndlessEngine('interim heads')
    addresses = []

    async def call(address):
        addresses.append(address)
        async with _client(address) as client:
            if len(addresses) > 1:
                await EtcdService(client).read('k')
            raise PlatformUnavailableError('late')

    await _call_until_error(network, engine, call)
    assert len(addresses) == 2


def _client(address):
    return httpx.AsyncClient(base_url=f'http://{address[0]}:{address[1]}')


@every_endless_response
@every_engine
async def test_endless_instance_list_ends(network, kind, make_engine):
    async def call(address):
        async with _client(address) as client:
            await InstanceList(client).fetch()

    engine = make_engine(kind)
    error = await _call_until_error(network, engine, call)
    assert isinstance(error, PlatformUnavailableError)


@every_endless_response
@every_engine
async def test_endless_reply_of_the_key_value_service_ends(
    network, kind, make_engine
):
    async def call(address):
        async with _client(address) as client:
            await EtcdService(client).read('k')

    engine = make_engine(kind)
    error = await _call_until_error(network, engine, call)
    assert isinstance(error, PlatformUnavailableError)


@every_endless_response
async def test_endless_line_of_a_watch_ends(network, kind):
    """A watch itself has no end, but each of its lines has."""

    async def call(address):
        async with _client(address) as client:
            await _drain(EtcdService(client).follow_prefix('k'))

    error = await _call_until_error(network, EndlessEngine(kind), call)
    assert isinstance(error, PlatformUnavailableError)


async def test_line_that_takes_too_long_ends(monkeypatch):
    """Its bytes may be so few that they reach no limit of size."""
    now = [0.0]
    clock = types.SimpleNamespace(monotonic=lambda: now[0])
    monkeypatch.setattr(bounded_http, 'time', clock)

    async def dribble():
        yield b'one\n'
        now[0] += 100
        yield b'tw'
        yield b'o\nth'
        for _ in range(100):
            now[0] += 1
            yield b'r'

    reply = httpx.Response(200, content=dribble())
    reply.request = httpx.Request('GET', 'http://127.0.0.1/')
    lines = []
    with pytest.raises(httpx.ReadTimeout):
        async for line in bounded_http.iter_lines(reply, 1000, 5):
            lines.append(line)
    assert lines == [b'one', b'two']
    assert now[0] == 106


async def test_lines_are_split_at_any_byte():
    raw = b'one\ntwo\n\nlast'
    for size in range(1, len(raw) + 1):
        parts = [raw[at : at + size] for at in range(0, len(raw), size)]
        reply = httpx.Response(200, content=_yield_all(parts))
        lines = [line async for line in bounded_http.iter_lines(reply, 9)]
        assert lines == [b'one', b'two', b'', b'last']


async def _yield_all(parts):
    for part in parts:
        yield part


@pytest.mark.parametrize('size', [1, 65_536])
async def test_packed_body_without_end_takes_no_memory(size):
    """It is over its limit long before it is unpacked whole."""
    packed = gzip.compress(bytes(50_000_000))
    parts = [packed[at : at + size] for at in range(0, len(packed), size)]
    headers = {'content-encoding': 'gzip'}
    reply = httpx.Response(
        200,
        headers=headers,
        content=_yield_all(parts),
        request=httpx.Request('GET', 'http://h/'),
    )
    tracemalloc.start()
    with pytest.raises(httpx.HTTPError):
        await bounded_http.read_body(reply, MAX_BYTES)
    _, most = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert most < 10 * MAX_BYTES


async def test_tiny_parts_of_a_body_leave_other_tasks_their_turn():
    parts = [b'x'] * 5000
    reply = httpx.Response(200, content=_yield_all(parts))
    turns = []

    async def count_turns():
        while True:
            turns.append(1)
            await trio.lowlevel.checkpoint()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(count_turns)
        assert await bounded_http.read_body(reply, 5000) == b'x' * 5000
        nursery.cancel_scope.cancel()
    assert len(turns) >= len(parts) // bounded_http.PARTS_PER_TURN - 2


def test_every_kind_of_response_has_an_endless_part():
    assert all(unit for _, unit in ENDLESS_RESPONSES.values())
