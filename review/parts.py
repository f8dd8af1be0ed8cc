"""review.parts: stand-ins and processes that the cases share.

The store, the runners and the client speak what the users' PROTOCOL page
says. Every address is a loopback address of one network drawn at the start.
"""

import base64
import contextlib
import json
import os
import pathlib
import random
import shutil
import socket
import sys
import tempfile
import time
from urllib.parse import parse_qs

import trio

from briarrill.transport.http_callers import (
    CallerGoneError,
    CallerLimits,
    serve_callers,
)
from briarrill.transport.http_channel import connect
from briarrill.transport.http_messages import RequestHead, find_header

ROOT = pathlib.Path(__file__).resolve().parents[1]

STORE_PORT = 8142
FRONT_PORT = 8144
READY_PORT = 8140
CONTROL_PORT = 8146
RUNNER_PORT = 8080
PORTS = range(7660, 7676)

# of a conditional write, in all three lists together
MAX_TXN_ENTRIES = 32

RUN_LIMIT_S = 112

LIMITS = CallerLimits(
    max_body_bytes=64_000_000, header_timeout_s=3600, idle_timeout_s=3600
)

HELD = 0
BROKEN = 1
NOT_RUN = 2


def has_trouble():
    """Tell whether the disruption is to be played."""
    return os.environ.get('TROUBLE', '1') != '0'


class Record:
    """Writes what is sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self._path = folder / 'record.txt'
        self._path.write_text('', encoding='utf-8')
        self._began_at = time.monotonic()

    def __call__(self, text):
        """Write one line with the time since the start."""
        at_s = time.monotonic() - self._began_at
        with self._path.open('a', encoding='utf-8') as lines:
            lines.write(f'{at_s:8.3f} {text}\n')


class Gate:
    """The way of one machine to the store.

    :ivar is_silent: calls get no response; those that arrive are not
        executed.
    """

    def __init__(self):
        self.is_silent = False
        self.silences = 0
        self.replied = trio.Event()

    def record_reply(self):
        """Record that a call got its response."""
        self.replied.set()
        self.replied = trio.Event()

    def silence(self):
        """Stop answering, also the calls that wait now."""
        self.is_silent = True
        self.silences += 1

    def open(self):
        """Serve the calls that arrive from now on."""
        self.is_silent = False

    def drop_open(self):
        """Let the open connections be silent for good; new ones work."""
        self.silences += 1


class Store:
    """The platform's store: keys, watches, conditional writes, leases."""

    def __init__(self, record):
        self.revision = 100
        self.items = {}
        self.events = []
        self.record = record
        self._leases = {}
        self._changed = trio.Event()

    async def run(self):
        """End leases that were not renewed, until cancelled."""
        while True:
            await trio.sleep(0.1)
            now = time.monotonic()
            for lease, (_, ends_at) in list(self._leases.items()):
                if ends_at < now:
                    self._end_lease(lease)

    def put(self, key, value, lease=0):
        """Write a key and wake the watches."""
        self._write([(key, value, lease)], [])

    def remove(self, key):
        """Delete a key and wake the watches."""
        if key in self.items:
            self._write([], [key])

    async def serve(self, conn, gate):
        """Serve one connection of the machine behind a gate."""
        silences = gate.silences
        while (head := await conn.read_request_head()) is not None:
            body = await conn.read_body(head)
            if gate.is_silent or gate.silences != silences:
                await trio.sleep_forever()
            path, _, query = head.target.decode().partition('?')
            fields = {
                name: texts[0] for name, texts in parse_qs(query).items()
            }
            status, reply = await self._answer(path, fields, body)
            if gate.silences != silences:
                await trio.sleep_forever()
            await conn.send_response(
                status,
                ((b'content-type', b'application/json'),),
                json.dumps(reply).encode(),
            )
            gate.record_reply()

    async def _answer(self, path, fields, body):
        call, _, argument = path[1:].partition('/')
        if call == 'kv-key':
            item = self.items.get(fields['key'])
            found = {**item, 'at': self.revision} if item else {}
            return (200 if item else 404), found
        if call == 'kv-range':
            return self._read_range(fields)
        if call == 'kv-watch':
            return await self._watch(fields)
        if call == 'kv-txn':
            return self._apply(json.loads(body))
        if call == 'kv-lease':
            ttl_ms = json.loads(body)['ttl_ms']
            lease = self.revision * 1000 + len(self._leases) + 1
            self._leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
            return 200, {'lease': lease, 'ttl_ms': ttl_ms}
        lease = int(argument)
        if lease not in self._leases:
            return 404, {}
        if call == 'kv-lease-end':
            self._end_lease(lease)
            return 200, {}
        ttl_ms = self._leases[lease][0]
        self._leases[lease] = (ttl_ms, time.monotonic() + ttl_ms / 1000)
        return 200, {'lease': lease, 'ttl_ms': ttl_ms}

    def _read_range(self, fields):
        prefix, after = fields.get('prefix', ''), fields.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return 200, {
            'items': [self.items[key] for key in keys[:500]],
            'has_more': len(keys) > 500,
            'at': self.revision,
        }

    async def _watch(self, fields):
        prefix, after = fields['prefix'], int(fields['after'])
        at = self.revision
        with trio.move_on_after(int(fields['wait_ms']) / 1000):
            while True:
                at = self.revision
                found = [
                    event
                    for event in self.events
                    if event['revision'] > after
                    and event['key'].startswith(prefix)
                ]
                if found:
                    return 200, {'events': found, 'at': at}
                await self._changed.wait()
        return 200, {'events': [], 'at': at}

    def _apply(self, txn):
        if sum(map(len, txn.values())) > MAX_TXN_ENTRIES:
            self.record(
                f'store: {sum(map(len, txn.values()))} entries refused'
            )
            return 400, {}
        for row in txn.get('expected', ()):
            item = self.items.get(row['key'])
            if row['revision'] != (item['revision'] if item else 0):
                self.record(f'store: conflict at {row["key"]}')
                expected = [one['key'] for one in txn['expected']]
                current = [self.items[k] for k in expected if k in self.items]
                return 412, {'items': current}
        writes = [
            (one['key'], base64.b64decode(one['value']), one.get('lease', 0))
            for one in txn.get('writes', ())
        ]
        if any(lease and lease not in self._leases for *_, lease in writes):
            return 404, {}
        self._write(writes, txn.get('remove', ()))
        return 200, {'revision': self.revision}

    def _write(self, writes, removed):
        self.revision += 1
        for key, value, lease in writes:
            if not key.startswith(('servers/', 'briarrill/members')):
                self.record(f'store: {key} written')
            created = self.items.get(key, {}).get('created', self.revision)
            self.items[key] = {
                'key': key,
                'value': base64.b64encode(value).decode(),
                'revision': self.revision,
                'created': created,
                'lease': lease,
            }
            self.events.append(self.items[key])
        for key in removed:
            if self.items.pop(key, None) is not None:
                self.record(f'store: {key} removed')
                self.events.append(
                    {
                        'key': key,
                        'revision': self.revision,
                        'tombstone': True,
                    }
                )
        self._changed.set()
        self._changed = trio.Event()

    def _end_lease(self, lease):
        self._leases.pop(lease, None)
        keys = [k for k, item in self.items.items() if item['lease'] == lease]
        if keys:
            self._write([], keys)


class Runner:
    """A sound model runner with slots, streams of events, and drops.

    :param plans: (seconds, events, status) of an item or request by its ID.
    :ivar holds: events that runs wait for before they end, by the same ID.
    """

    def __init__(self, runner_id, host, record, plans):
        self.runner_id = runner_id
        self.host = host
        self.born = int(time.time() * 1000)
        self.record = record
        self.plans = plans
        self.started = {}
        self.running = set()
        self.holds = {}

    def registration(self, service, zone, **changed):
        """Return the entry that the runner writes to the store."""
        fields = {
            'service': service,
            'address': f'{self.host}:{RUNNER_PORT}',
            'zone': zone,
            'version': 'v1',
            'slots': 8,
            'state': 'ready',
            'cold_left_ms': 0,
            'call_seq': 0,
            'born': self.born,
            **changed,
        }
        return json.dumps(fields).encode()

    async def serve(self, conn):
        """Serve the requests of one connection."""
        while (head := await conn.read_request_head()) is not None:
            await conn.read_body(head)
            if head.target == b'/report':
                report = json.dumps({'born': self.born}).encode()
                await conn.send_response(200, (), report)
                continue
            attempt = find_header(head.headers, b'briarrill-attempt-id') or b''
            try:
                self.running.add(attempt)
                async with trio.open_nursery() as nursery:
                    nursery.start_soon(_cancel_at_close, conn, nursery)
                    await self._run(attempt.decode(), head, conn)
                    nursery.cancel_scope.cancel()
            except* (CallerGoneError, OSError):
                pass
            finally:
                self.running.discard(attempt)
            if not conn.is_response_complete:
                self.record(f'{self.runner_id}: {attempt.decode()} dropped')
            if not conn.is_reusable:
                return

    async def _hold(self, attempt):
        if attempt in self.holds:
            await self.holds[attempt].wait()

    async def _run(self, attempt, head, conn):
        expected = find_header(head.headers, b'briarrill-expect-instance')
        headers = (
            (b'briarrill-attempt-id', attempt.encode()),
            (b'briarrill-response-seal', b'3e1b.07.' + attempt.encode()),
        )
        if expected not in {None, self.runner_id.encode()}:
            await conn.send_response(421, headers, b'')
            return
        resumed = find_header(head.headers, b'last-event-id')
        first = int(resumed or b'0') + 1
        self.started[attempt] = self.started.get(attempt, 0) + 1
        self.record(f'{self.runner_id}: {attempt} runs from event {first}')
        seconds, events, status = self.plans[attempt]
        if status != 200:
            await trio.sleep(seconds)
            await self._hold(attempt)
            self.record(f'{self.runner_id}: {attempt} gets {status}')
            await conn.send_response(status, headers, b'')
            return
        stream = ((b'content-type', b'text/event-stream'),)
        await conn.send_head(200, headers + stream)
        for number in range(first, events + 1):
            await trio.sleep(seconds / events)
            if number == events:
                await self._hold(attempt)
            event = f'id: {number}\ndata: {attempt} word {number}\n\n'
            await conn.send_body(event.encode())
        await conn.send_end()
        self.record(f'{self.runner_id}: {attempt} is whole')


async def _cancel_at_close(conn, nursery):
    await conn.wait_disconnected()
    nursery.cancel_scope.cancel()


class Fleet:
    """Processes of the deploy file beside a store and runners."""

    def __init__(self, record, folder):
        self.record = record
        self.folder = folder
        self.network = _free_network()
        self.store = Store(record)
        self.gates = {}
        self.processes = {}
        self.hosts = {}
        self._seeds = []
        self._next_host = 40

    def new_host(self):
        """Return a loopback address of the network."""
        self._next_host += 1
        return f'{self.network}.{self._next_host}'

    async def serve(self, nursery, host, port, serve):
        """Serve HTTP at an address until the nursery is cancelled."""

        async def run(task_status):
            async with serve_callers((host, port), lambda: LIMITS, serve):
                task_status.started()
                await trio.sleep_forever()

        await nursery.start(_start, run)

    async def start(self, nursery, name, program, zone):
        """Start one process, with a way of its own to the store."""
        if name not in self.gates:
            self.gates[name] = Gate()
            self.hosts[name] = self.new_host()
            gate = self.gates[name]
            store_host = self.new_host()
            self.hosts[f'{name}/store'] = store_host
            await self.serve(
                nursery,
                store_host,
                STORE_PORT,
                lambda conn: self.store.serve(conn, gate),
            )
        if program == 'entry' and len(self._seeds) < 3:
            self._seeds.append(f'{self.hosts[name]}:{CONTROL_PORT}')
        path = self.folder / f'{name}.toml'
        path.write_text(_settings(self, name, program, zone), encoding='utf-8')
        command = [sys.executable, '-m', 'briarrill.platform', program]
        deps = str(ROOT / 'target' / 'deps')
        env = {
            'PATH': os.environ.get('PATH', ''),
            'HOME': os.environ.get('HOME', ''),
            'PYTHONPATH': deps,
            'PYTHONDONTWRITEBYTECODE': '1',
            'BRIARRILL_CONFIG': str(path),
        }
        with open(self.folder / f'{name}.log', 'ab') as log_file:
            self.processes[name] = await trio.lowlevel.open_process(
                command, env=env, cwd=ROOT, stdout=log_file, stderr=log_file
            )
        self.record(f'{name}: started')

    async def wait_ready(self, name):
        """Wait until a process that serves clients is ready."""
        while True:
            with contextlib.suppress(Exception):
                address = (self.hosts[name], READY_PORT)
                status, _, _ = await call(address, 'GET', '/ready', {})
                if status == 200:
                    return
            await trio.sleep(0.05)

    def call(self, name, method, target, headers, body=b''):
        """Send a client's request to an entry, on a new connection."""
        address = (self.hosts[name], FRONT_PORT)
        return call(address, method, target, headers, body)

    async def stop(self):
        """Kill the processes that were started."""
        with trio.CancelScope(shield=True):
            for process in self.processes.values():
                if process.poll() is None:
                    process.kill()
                await process.wait()


async def _start(run, task_status=trio.TASK_STATUS_IGNORED):
    await run(task_status)


async def call(address, method, target, headers, body=b''):
    """Send one request; return status, headers and body."""
    fields = {'host': 'ficu95.example', **headers}
    if body or method == 'POST':
        fields['content-length'] = str(len(body))
    head = RequestHead(
        method.encode(),
        target.encode(),
        tuple((k.lower().encode(), v.encode()) for k, v in fields.items()),
    )
    channel = await connect(address, 1)
    try:
        async with channel.exchange(head, body):
            response = await channel.read_head()
            received = await channel.read_full_body(8_000_000)
            return response.status, dict(response.headers), received
    finally:
        channel.close()


def job_body(items):
    """Return the body that submits items, (ID, path, tokens) each."""
    return json.dumps(
        {
            'items': [
                {
                    'id': item_id,
                    'path': path,
                    'headers': {
                        'Briarrill-Model': 'm',
                        'Briarrill-Token-Count': f'250,{tokens - 250}',
                        'Briarrill-Prompt-Prefix': f'9c2e41:100,{item_id}:150',
                    },
                    'body': base64.b64encode(item_id.encode()).decode(),
                    'tokens': tokens,
                }
                for item_id, path, tokens in items
            ]
        }
    ).encode()


def batch_route(name, prefix, service, **changed):
    """Return a batch route like that of the small site."""
    return {
        'name': name,
        'host': 'ficu95.example',
        'prefix': prefix,
        'kind': 'batch',
        'timeout_ms': 15000,
        'target_latency_ms': 400,
        'completion_target_ms': 18000,
        'keep_s': 60,
        'max_queued_tokens': 1_500_000,
        'priority': 2,
        'service': service,
        'max_attempts': 3,
        **changed,
    }


def configuration(version, routes, services):
    """Return the operator's configuration as it is stored."""
    return json.dumps(
        {
            'version': version,
            'routes': routes,
            'services': [
                {'name': name, 'health_path': '/healthz', 'protocol': 'h1'}
                for name in services
            ],
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 4194304,
                'header_timeout_ms': 3000,
                'idle_timeout_ms': 15000,
            },
        }
    ).encode()


async def read_all(fleet, name, job_id, host='ficu95.example'):
    """Read a job from its start; return total and results, or a status."""
    results, total = [], None
    while True:
        target = f'/lots/{job_id}?after={len(results)}'
        status, _, body = await fleet.call(name, 'GET', target, {'host': host})
        if status != 200:
            return status, None, results
        page = json.loads(body)
        total = page['total']
        results.extend(page['results'])
        if not page['results']:
            return status, total, results


def _settings(fleet, name, program, zone):
    host = fleet.hosts[name]
    is_entry = program == 'entry'
    listen = (
        f'front_http = "{host}:{FRONT_PORT}"\n'
        f'ready = "{host}:{READY_PORT}"\n'
        f'control_plane = "{host}:{CONTROL_PORT}"\n'
        if is_entry
        else ''
    )
    data_dir = fleet.folder / f'{name}.data'
    data_dir.mkdir(exist_ok=True)
    return f"""
node_name = "{name}"
role = "{program}"
machine_class = "{'edge' if is_entry else 'storage'}"
serves = [{'"edge","control"' if is_entry else '"storage"'}]
ip = "{host}"
zone = "{zone}"
region = "lutruwita"
internal_port_range = [{PORTS[0]},{PORTS[-1]}]
seed_nodes = {json.dumps(fleet._seeds)}
bootstrap = true
fault_counted = {'false' if is_entry else 'true'}
discovery = "platform"
entry_point = "vip"
heartbeat_ms = 1200
{'' if is_entry else f'data_dir = "{data_dir}"'}
[zones]
hobart-a = "lutruwita"
launceston-b = "lutruwita"
devonport-c = "lutruwita"
[listen_addrs]
{listen}
[limits]
memory_mb = {300 if is_entry else 330}
max_fds = {4100 if is_entry else 8200}
[contract_params]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_ms = 4000
sync_time_s = 4.6
drain_ms = 2000
grace_s = 8
config_apply_ms = 2000
pass_ms = 120
completion_window_s = 18
retention_s = 120
cancel_ms = 3000
settle_ms = 1000
[platform]
address = "{fleet.hosts[f'{name}/store']}:{STORE_PORT}"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


def _free_network():
    """Return the first three numbers of a free loopback network."""
    for _ in range(200):
        network = f'127.{random.randint(1, 254)}.{random.randint(1, 254)}'
        with contextlib.ExitStack() as stack:
            try:
                for port in (STORE_PORT, FRONT_PORT, RUNNER_PORT, PORTS[0]):
                    for number in (41, 42, 50):
                        probe = stack.enter_context(socket.socket())
                        probe.bind((f'{network}.{number}', port))
            except OSError:
                continue
            return network
    raise OSError('no free network')


def main(folder, play):
    """Play a case and end with its exit code.

    :param play: returns whether the rule held.
    """
    record = Record(folder)
    work = pathlib.Path(tempfile.mkdtemp(prefix='briarrill-review-'))
    code = NOT_RUN
    try:
        code = trio.run(_play, record, work, play)
    except BaseException as exc:
        record(f'not run: {exc!r}')
        for part in getattr(exc, 'exceptions', ()):
            record(f'  {part!r}')
    finally:
        if os.environ.get('KEEP_LOGS'):
            record(f'logs in {work}')
        else:
            shutil.rmtree(work, ignore_errors=True)
    record(f'exit code {code}')
    sys.exit(code)


async def _play(record, work, play):
    fleet = Fleet(record, work)
    has_held = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(fleet.store.run)
        try:
            with trio.fail_after(RUN_LIMIT_S):
                has_held = await play(fleet, nursery, record)
        finally:
            await fleet.stop()
            nursery.cancel_scope.cancel()
    return HELD if has_held else BROKEN
