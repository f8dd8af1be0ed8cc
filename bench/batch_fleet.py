"""bench.batch_fleet: a fleet, its jobs and its counters for bench.batch."""

import contextlib
import json
import pathlib
import subprocess
import sys
import tempfile
import time

import httpx

from briarrill.state.contracts import hash_api_key
from standins.fleet import FleetPlan, open_fleet

API_KEY = 'bench-key'
MODEL = 'clause-drafter'
POLL_S = 0.02
JOB_LIMIT_S = 900.0

CONFIGURATION = f"""
[contracts.bench]
api_key_sha256 = ['{hash_api_key(API_KEY)}']
models = ['{MODEL}']
batch_items_per_job = 1000000
batch_items_in_flight = 100000
[models.{MODEL}]
pool = 'drafting'
"""


@contextlib.contextmanager
def open_bench_fleet(network, **plan):
    """Run a fleet with a contract that limits nothing."""
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / 'configuration.toml'
        path.write_text(CONFIGURATION)
        with open_fleet(
            FleetPlan(network=network, services=0, **plan),
            pathlib.Path(folder),
            str(path),
        ) as fleet:
            yield BenchFleet(fleet)


def item_body(number, tokens):
    """Return the request body of one item."""
    message = {'role': 'user', 'content': f'Draft section {number}.'}
    return {'model': MODEL, 'messages': [message], 'max_tokens': tokens}


class BenchFleet:
    """A running fleet."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.client = httpx.Client(
            base_url=fleet.entry_url(0),
            headers={'Authorization': f'Bearer {API_KEY}'},
            timeout=600,
        )

    @contextlib.contextmanager
    def open_pullers(self, count, room):
        """Run sidecars whose items cost nothing; yield their reports."""
        hosts = ','.join(
            f'{self.fleet.plan.network}.{10 + number}'
            for number in range(self.fleet.plan.entries)
        )
        command = [sys.executable, '-m', 'bench.echo_puller']
        running = [
            subprocess.Popen(
                [*command, f'echo-{number}', hosts, str(room)],
                stdout=subprocess.PIPE,
            )
            for number in range(count)
        ]
        reports = []
        try:
            yield reports
        finally:
            for process in running:
                process.terminate()
            for process in running:
                output, _ = process.communicate()
                reports.append(json.loads(output))

    def upload(self, first, count, tokens):
        """Upload an input file and return its identifier and size."""
        lines = []
        for number in range(first, first + count):
            line = {
                'custom_id': f'section-{number}',
                'method': 'POST',
                'url': '/v1/chat/completions',
                'body': item_body(number, tokens),
            }
            lines.append(json.dumps(line))
        body = '\n'.join(lines).encode()
        reply = self.client.post(
            '/v1/files',
            files={'file': ('bench.jsonl', body)},
            data={'purpose': 'batch'},
        )
        reply.raise_for_status()
        return reply.json()['id']

    def create(self, file_id):
        """Create a job and return its identifier."""
        body = {
            'input_file_id': file_id,
            'endpoint': '/v1/chat/completions',
            'completion_window': '24h',
        }
        reply = self.client.post('/v1/batches', json=body)
        reply.raise_for_status()
        return reply.json()['id']

    def wait(self, job_id):
        """Wait for a job's end and return its view."""
        deadline = time.monotonic() + JOB_LIMIT_S
        while time.monotonic() < deadline:
            job = self.client.get(f'/v1/batches/{job_id}').json()
            if job['status'] == 'completed':
                return job
            time.sleep(POLL_S)
        raise TimeoutError(job_id)

    def counts(self):
        """Return the key-value service's counters."""
        return httpx.get(f'{self.fleet.key_value_url}/counts').json()

    def data_bytes(self):
        """Return the disk space of all data folders."""
        folders = self.fleet.folder.glob('data-*')
        return sum(
            path.stat().st_size
            for folder in folders
            for path in folder.rglob('*')
            if path.is_file()
        )

    def batch_usage(self):
        """Return resident bytes and processor seconds by batch process."""
        return {
            name: _usage(member.process.pid)
            for name, member in self.fleet.members.items()
            if name.startswith('batch') and member.process.poll() is None
        }

    def owner(self, before):
        """Return the batch process that worked most since a reading."""
        now = self.batch_usage()
        spent = {name: now[name][1] - before[name][1] for name in now}
        return max(spent, key=lambda name: spent[name])


def _usage(pid):
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    peak = next(row for row in status.splitlines() if 'VmHWM' in row)
    fields = pathlib.Path(f'/proc/{pid}/stat').read_text().split()
    ticks = int(fields[13]) + int(fields[14])
    return int(peak.split()[1]) * 1024, ticks / 100
