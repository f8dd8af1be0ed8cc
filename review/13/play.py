"""All items of a job follow the path of its first item to another service."""

import base64
import collections
import json
import pathlib
import random

import trio

from review.parts_3 import Fleet, call, has_trouble, run_script
from standins.platform_engine import StandinEngine, stream_events

CONFIG_APPLY_S = 2.0
ITEMS = 10
JOBS = 4


def make_route(name, prefix, service):
    """Return a batch route."""
    return {
        'name': name,
        'host': 'h',
        'prefix': prefix,
        'kind': 'batch',
        'timeout_ms': 15_000,
        'target_latency_ms': 400,
        'completion_target_ms': 18_000,
        'keep_s': 60,
        'max_queued_tokens': 1_500_000,
        'max_attempts': 3,
        'gap_aim_ms': 250,
        'service': service,
    }


def make_configuration(version, *routes):
    """Return a configuration with these routes."""
    engine = {'slots': 8, 'kv_capacity_tokens': 72_000}
    return {
        'version': version,
        'routes': routes,
        'services': [
            {'name': name, 'engine': engine}
            for name in ('old-models', 'clause-models', 'summary-models')
        ],
    }


def make_job():
    """Return the identifier and the body of a job."""
    job_id = f'{random.getrandbits(64):016x}'
    items = [
        {
            'id': f'{random.getrandbits(64):016x}',
            'path': f'/jobs/{("clause", "summary")[number % 2]}/run',
            'headers': {
                'Briarrill-Model': 'm',
                'Briarrill-Token-Count': '350,400',
            },
            'body': base64.b64encode(b'section').decode(),
            'tokens': 750,
        }
        for number in range(ITEMS)
    ]
    return job_id, json.dumps({'items': items}).encode()


def paths_at(runners, numbers):
    """Return how many items of each path some runners received."""
    return dict(
        collections.Counter(
            received.head.path
            for number in numbers
            for received in runners[number].requests
        )
    )


async def play(folder, record):
    """Return whether items ran only where a configuration sends their path."""
    fleet = Fleet(folder, seeds=(2, 3))
    for number in (2, 3):
        fleet.add('entry', number, f'z{number}')
    for number in (5, 6, 7):
        fleet.add('batch', number, f'z{number - 3}', memory_mb=330)
    services = {
        'old-models': (20,),
        'clause-models': range(30, 33),
        'summary-models': range(40, 43),
    }
    runners = {
        number: StandinEngine(
            stream_events(30, pause_s=0.1), born=1_700_000_000_000 + number
        )
        for numbers in services.values()
        for number in numbers
    }
    for service, numbers in services.items():
        for number in numbers:
            fleet.register(f'r{number}', number, f'z{2 + number % 3}', service)
    one = make_route('section-batch', '/jobs/', 'old-models')
    two = [
        make_route('clause-batch', '/jobs/clause/', 'clause-models'),
        make_route('summary-batch', '/jobs/summary/', 'summary-models'),
    ]
    fleet.configure(make_configuration(3, one))
    record.add('version 3: /jobs/ goes to old-models')
    async with fleet.serving(runners):
        for machine in fleet.machines:
            machine.start()
        await fleet.wait_ready()
        await trio.sleep(4)
        jobs = [make_job() for _ in range(JOBS)]
        for job_id, body in jobs:
            status, _, _ = await call(
                fleet.host(2),
                'POST',
                '/jobs/submit',
                {
                    'briarrill-attempt-id': job_id,
                    'briarrill-deadline-ms': '4000',
                },
                body,
            )
            record.add(f'job {job_id} of {ITEMS} items answered {status}')
        if has_trouble():
            fleet.configure(make_configuration(4, *two))
            record.add(
                'version 4: /jobs/clause/ goes to clause-models,'
                ' /jobs/summary/ to summary-models, /jobs/ is removed'
            )
        await trio.sleep(30)
        for job_id, _ in jobs:
            _, _, text = await call(
                fleet.host(3), 'GET', f'/lots/{job_id}?after=0', {}
            )
            states = collections.Counter(
                result['state'] for result in json.loads(text)['results']
            )
            record.add(f'job {job_id}: {dict(states)}')
        ran = {name: paths_at(runners, services[name]) for name in services}
        for service, paths in ran.items():
            record.add(f'{service} received {paths}')
    wrong = ran['clause-models'].get('/jobs/summary/run', 0) + ran[
        'summary-models'
    ].get('/jobs/clause/run', 0)
    if wrong:
        record.add(f'ROUTE is broken by {wrong} runs')
    return not wrong


run_script(pathlib.Path(__file__).parent, play)
