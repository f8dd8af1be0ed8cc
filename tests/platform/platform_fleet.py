"""Entry and batch processes with a stand-in store on loopback addresses."""

import base64
import contextlib
import json
import os
import sys

import attrs
import trio

from briarrill.transport.http_channel import connect
from briarrill.transport.http_messages import RequestHead
from standins.platform_engine import StandinEngine
from standins.platform_store import StandinStore

STORE_PORT = 8142
FRONT_PORT = 8144
READY_PORT = 8140
PEER_PORT = 7660

BORN_MS = 1_700_000_000_000

ROUTES = {
    'version': 3,
    'routes': [
        {
            'name': 'online',
            'host': 'h',
            'prefix': '/online/',
            'kind': 'streaming',
            'timeout_ms': 5000,
            'target_latency_ms': 300,
            'service': 'llm',
            'max_attempts': 1,
        },
        {
            'name': 'jobs',
            'host': 'h',
            'prefix': '/jobs/',
            'kind': 'batch',
            'timeout_ms': 5000,
            'target_latency_ms': 400,
            'completion_target_ms': 18000,
            'keep_s': 60,
            'max_queued_tokens': 1000,
            'max_attempts': 2,
            'service': 'llm',
        },
    ],
}


@attrs.define
class Fleet:
    """A running entry and batch process with stand-in store and engine.

    :param entry: last number of the address of the entry that is called.
    """

    network: str
    store: StandinStore
    engine: StandinEngine
    processes: dict
    entry: int = 2

    async def send_request(self, method, target, body=b'', **headers):
        """Send a request to the entry; return status and body."""
        fields = {'host': 'h', 'briarrill-attempt-id': 'r1'}
        fields.update(
            (name.replace('_', '-'), text) for name, text in headers.items()
        )
        fields['content-length'] = str(len(body))
        head = RequestHead(
            method.encode(),
            target.encode(),
            tuple(
                (key.encode(), text.encode()) for key, text in fields.items()
            ),
        )
        return await send_request_to(
            (f'{self.network}.{self.entry}', FRONT_PORT), head, body
        )

    async def read_results(self, job_id, count):
        """Read results until a job has this many; return the body."""
        while True:
            status, body = await self.send_request(
                'GET', f'/lots/{job_id}?after=0', briarrill_wait_ms='500'
            )
            page = json.loads(body) if status == 200 else {'results': []}
            if len(page['results']) >= count:
                return page
            await trio.sleep(0.05)

    def register_upstream(self, upstream_id, host):
        """Register a further upstream on a host."""
        register_upstream(self.store, upstream_id, host)

    async def submit(self, job_id, count, tokens=10):
        """Submit a job of ``count`` items; return the status."""
        items = [
            {
                'id': f'{job_id}-{number}',
                'path': f'/jobs/{number}',
                'headers': {'Briarrill-Model': 'm'},
                'body': base64.b64encode(b'prompt').decode(),
                'tokens': tokens,
            }
            for number in range(count)
        ]
        status, _ = await self.send_request(
            'POST',
            '/jobs/',
            json.dumps({'items': items}).encode(),
            briarrill_attempt_id=job_id,
        )
        return status


async def send_request_to(address, head, body=b''):
    channel = await connect(address, 1)
    try:
        async with channel.exchange(head, body):
            response_head = await channel.read_head()
            return response_head.status, await channel.read_full_body(
                1_000_000
            )
    finally:
        channel.close()


def _settings_text(host, name, network, store_host, peer_port):
    return f"""
node_name = "{name}"
ip = "{host}"
zone = "a"
internal_port_range = [{peer_port}, {peer_port + 9}]
seed_nodes = ["{network}.2:9999"]
[listen_addrs]
front_http = "{host}:{FRONT_PORT}"
ready = "{host}:{READY_PORT}"
[contract_params]
grace_s = 6
[platform]
address = "{store_host}:{STORE_PORT}"
"""


async def start_process(
    network, folder, program, number, store_host=None, peer_port=PEER_PORT
):
    """Start a process.

    :param store_host: default the first of the network.
    :param peer_port: one that reaches only peers that have the same.
    """
    host = f'{network}.{number}'
    name = f'{program}-{number}'
    path = folder / f'{name}.toml'
    text = _settings_text(
        host, name, network, store_host or f'{network}.1', peer_port
    )
    path.write_text(text, encoding='utf-8')
    with (folder / f'{name}.log').open('ab') as log_file:
        return await trio.lowlevel.open_process(
            [sys.executable, '-m', 'briarrill.platform', program],
            env={**os.environ, 'BRIARRILL_CONFIG': str(path)},
            stdout=log_file,
        )


def store_routes(store):
    """Write the configuration with the routes of a stream and of jobs."""
    store.put('op/config', json.dumps(ROUTES).encode())


def register_upstream(store, upstream_id, host, start=0, version='v1'):
    registration = {
        'service': 'llm',
        'address': f'{host}:8080',
        'zone': 'a',
        'version': version,
        'slots': 4,
        'state': 'ready',
        'born': BORN_MS + start,
    }
    store.put(f'servers/{upstream_id}', json.dumps(registration).encode())


async def wait_ready(host):
    head = RequestHead(b'GET', b'/ready', ((b'host', b'h'),))
    while True:
        with contextlib.suppress(Exception):
            status, _ = await send_request_to((host, READY_PORT), head)
            if status == 200:
                return
        await trio.sleep(0.05)
