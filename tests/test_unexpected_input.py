"""Input that must not end a process, wherever it comes from."""

import json

import httpx
import pytest
import trio

from briarrill.coordination.admission import Admission
from briarrill.coordination.load_exchange import LoadExchange
from briarrill.coordination.mirror import Mirror, MirrorListener
from briarrill.coordination.upstream_table import UpstreamTable
from briarrill.errors import (
    BadRequestError,
    InternalError,
    PlatformUnavailableError,
    WriteUnknownError,
)
from briarrill.platform.job_messages import PlatformJobProtocol
from briarrill.platform.upstreams import Registrations
from briarrill.protocol.load_reports import LoadReport, encode_report
from briarrill.protocol.messages import BatchItem, StatusRequest
from briarrill.protocol.rpc import open_rpc_pool, serve_rpc
from briarrill.result_codes import ResultCode
from briarrill.transport.etcd import EtcdService
from briarrill.transport.key_value import KeyChange
from standins.memory_key_value import MemoryKeyValue
from tests.sidecar.sidecar_setup import ScriptedUpstream, make_batch_runner

ITEM = {'id': 'i', 'path': '/x', 'headers': {}, 'body': '', 'tokens': 1}


@pytest.mark.parametrize(
    'fields',
    [
        {'path': '/a b'},
        {'path': '/a\r\nx: y'},
        {'path': '/\u20ac'},
        {'path': ''},
        {'headers': {'x y': 'z'}},
        {'headers': {'x': 'a\r\nb: c'}},
        {'headers': {'x': '\u20ac'}},
        {'headers': {'\u20ac': 'x'}},
        {'headers': {'': 'x'}},
    ],
)
def test_item_that_cannot_be_sent_is_rejected_with_its_job(fields):
    body = json.dumps({'items': [{**ITEM, **fields}]}).encode()
    with pytest.raises(BadRequestError, match="item 'i'"):
        PlatformJobProtocol().read_items(body)


@pytest.mark.parametrize(
    'fields',
    [
        {'id': '\u20ac'},
        {'id': 'i\r\nx: y'},
        {'id': 'i\0'},
        {'tokens': -1},
        {'tokens': 10**25},
        {'tokens': 10**400},
        {'tokens': '1'},
    ],
)
def test_item_that_cannot_be_stored_or_named_is_rejected(fields):
    body = json.dumps({'items': [{**ITEM, **fields}]}).encode()
    with pytest.raises(BadRequestError):
        PlatformJobProtocol().read_items(body)


@pytest.mark.parametrize('text', ['b25', 'b25l!', '\u00fc'])
def test_item_whose_body_is_no_base64_is_rejected_with_its_job(text):
    body = json.dumps({'items': [{**ITEM, 'body': text}]}).encode()
    with pytest.raises(BadRequestError, match='base64'):
        PlatformJobProtocol().read_items(body)


def test_item_with_headers_that_the_relay_replaces_is_accepted():
    headers = {'Content-Length': 'x', 'Transfer-Encoding': 'gzip', 'Te': 'x'}
    body = json.dumps({'items': [{**ITEM, 'headers': headers}]}).encode()
    assert PlatformJobProtocol().read_items(body)


@pytest.mark.parametrize(
    ('upstream_id', 'fields'),
    [
        ('i-1', {'address': 'host.example:80'}),
        ('i-1', {'address': '10.0.0.1:99999'}),
        ('i-1', {'address': '10.0.0.1:0'}),
        ('i-1', {'address': '..:80'}),
        ('i 1\r\n', {}),
        ('i-\u20ac', {}),
    ],
)
def test_registration_that_cannot_be_used_names_no_upstream(
    upstream_id, fields
):
    table = UpstreamTable(lambda: True)
    registration = {
        'service': 'llm',
        'address': '10.0.0.1:80',
        'zone': 'a',
        'slots': 4,
        'state': 'ready',
        **fields,
    }
    Registrations(table).apply_key(
        f'servers/{upstream_id}', json.dumps(registration).encode()
    )
    assert not table.registered_upstreams


class _FailingListener(MirrorListener):
    def __init__(self):
        self.keys = []

    def apply_key(self, key, body):
        self.keys.append(key)
        raise KeyError(key)


async def test_key_that_its_listener_cannot_take_is_skipped(nursery):
    service, listener = MemoryKeyValue(), _FailingListener()
    mirror = Mirror(service, 'k/', listener)
    nursery.start_soon(mirror.run)
    with trio.fail_after(5):
        await mirror.synced.wait()
        for key in ('k/1', 'k/2'):
            await service.transact([KeyChange(key, b'x', mod_revision=0)])
        while listener.keys != ['k/1', 'k/2']:
            await trio.sleep(0.01)


@pytest.mark.parametrize(
    'host', [f'{"x" * 70}.example', '\u00e9' * 70, 'a\0b', 'localhost', '']
)
async def test_report_with_an_impossible_host_does_not_end_the_exchange(
    network, nursery, host
):
    hosts = [f'{network}.{number}' for number in (1, 2)]
    first, second = (
        LoadExchange(f'p{host}', host, 7400, tuple(hosts), lambda one: one)
        for host in hosts
    )
    nursery.start_soon(first.run)
    bad = LoadReport('bad', host, 1, 1)
    with trio.fail_after(5):
        while first._sock is None:
            await trio.sleep(0.01)
        for raw in (encode_report(bad), b'\x00', encode_report(bad)[:-3]):
            first._process_datagram(first._sock, raw, hosts[1])
        nursery.start_soon(second.run)
        while f'p{hosts[1]}' not in first.live_reports:
            first.schedule_report()
            await trio.sleep(0.05)
    assert 'bad' not in first.live_reports


@pytest.mark.parametrize(
    'reply',
    [[], {}, {'kvs': [{}]}, {'kvs': 7}, {'kvs': [7]}, 'text', None],
)
async def test_malformed_reply_of_the_service_is_an_outage(reply):
    transport = httpx.MockTransport(
        lambda _req: httpx.Response(200, json=reply)
    )
    async with httpx.AsyncClient(
        transport=transport, base_url='http://service'
    ) as client:
        service = EtcdService(client)
        if reply:
            with pytest.raises(PlatformUnavailableError):
                await service.read('k')
        with pytest.raises(PlatformUnavailableError):
            await service.grant_lease(5)
        with pytest.raises(PlatformUnavailableError):
            await service.keep_lease_alive(5)
        with pytest.raises(PlatformUnavailableError):
            async for change in service.follow_prefix('k'):
                assert change is None
        with pytest.raises(WriteUnknownError):
            await service.transact([KeyChange('k', b'x', mod_revision=0)])


async def test_unexpected_error_of_a_handler_is_a_failure(network):
    async def fail(_request):
        raise KeyError('field')

    host = f'{network}.1'
    async with trio.open_nursery() as nursery, open_rpc_pool() as caller:
        await nursery.start(serve_rpc, host, 7401, {StatusRequest: fail})
        for _ in range(2):
            with pytest.raises(InternalError):
                await caller.call(host, 7401, StatusRequest(), 5)
        nursery.cancel_scope.cancel()


@pytest.mark.parametrize(
    'event', ['7', '[]', '{"choices":[null]}', '{"choices":[{"delta":[]}]}']
)
async def test_malformed_event_of_an_engine_fails_only_its_item(event):
    class _Engine(ScriptedUpstream):
        async def send_event(self, _req):
            yield b'data: %b\n\n' % event.encode()

    engine = _Engine()
    engine.make_chunks = engine.send_event
    item = BatchItem('j', 0, 1, 'c', 'model', '/x', b'{"messages":[]}')
    runner = make_batch_runner(engine, Admission(2, 2))
    with trio.fail_after(5):
        outcome = await runner.run_item(item)
    assert outcome.code is ResultCode.UPSTREAM_FAILED
