"""standins.demo: the demonstration that ``make demo`` runs.

Usage:
  demo [--folder=FOLDER]
  demo fleet [--folder=FOLDER]

``fleet`` keeps the same processes running until it is interrupted.

Options:
  --folder=FOLDER  Where settings, logs and data go [default: .demo].
"""

import json
import pathlib
import shutil
import signal
import subprocess
import sys
import time
from typing import Any

import httpx
from docopt import docopt

from .fleet import Fleet, FleetPlan, open_fleet

EXAMPLES = pathlib.Path(__file__).parent.parent / 'examples'
API_KEY = 'demo-key'
JOB_POLL_S = 0.2
JOB_TIMEOUT_S = 60.0
MAX_SHOWN_RESULTS = 3
MAX_SHOWN_CHARS = 72


def _print_line(text: str) -> None:
    sys.stdout.write(f'{text}\n')
    sys.stdout.flush()


def _stream_completion(client: httpx.Client) -> None:
    _print_line('\n== one streamed online response')
    body = (EXAMPLES / 'weekday-routine.json').read_bytes()
    with client.stream('POST', '/v1/chat/completions', content=body) as reply:
        reply.raise_for_status()
        for line in reply.iter_lines():
            sys.stdout.write(_delta_text(line))
            sys.stdout.flush()
    _print_line('')


def _delta_text(line: str) -> str:
    payload = line.removeprefix('data: ')
    if payload in {line, '[DONE]'}:
        return ''
    choices = json.loads(payload)['choices']
    return ''.join(choice['delta'].get('content', '') for choice in choices)


def _call_service(client: httpx.Client) -> None:
    _print_line('\n== one non-idempotent call of the plain service')
    reply = client.post('/services/approvals/submit', content=b'plan 17')
    reply.raise_for_status()
    _print_line(reply.text.strip())


def _run_batch_job(client: httpx.Client) -> None:
    _print_line('\n== one batch job')
    with open(EXAMPLES / 'holiday-sections.jsonl', 'rb') as stream:
        uploaded = client.post(
            '/v1/files',
            files={'file': ('holiday-sections.jsonl', stream)},
            data={'purpose': 'batch'},
        )
    create = {
        'input_file_id': uploaded.raise_for_status().json()['id'],
        'endpoint': '/v1/chat/completions',
        'completion_window': '24h',
    }
    created = client.post('/v1/batches', json=create).raise_for_status()
    job = _wait_completed(client, created.json()['id'])
    _print_line(
        f'{job["id"]}: {job["status"]}, {json.dumps(job["request_counts"])}'
    )
    path = f'/v1/files/{job["output_file_id"]}/content'
    lines = client.get(path).raise_for_status().text.splitlines()
    _print_line(f'{len(lines)} result lines, the first of them:')
    for line in lines[:MAX_SHOWN_RESULTS]:
        _print_line(f'  {_describe_result(json.loads(line))}')


def _describe_result(line: dict[str, Any]) -> str:
    if line['error']:
        return f'{line["custom_id"]}: error {line["error"]}'
    choice = line['response']['body']['choices'][0]
    text = choice['message']['content'][:MAX_SHOWN_CHARS]
    return f'{line["custom_id"]}: {text}'


def _wait_completed(client: httpx.Client, job_id: str) -> dict[str, Any]:
    deadline = time.monotonic() + JOB_TIMEOUT_S
    while time.monotonic() < deadline:
        reply = client.get(f'/v1/batches/{job_id}').raise_for_status()
        job: dict[str, Any] = reply.json()
        if job['status'] == 'completed':
            return job
        time.sleep(JOB_POLL_S)
    raise TimeoutError(f'{job_id} not completed in {JOB_TIMEOUT_S} s')


def _show_timeline(fleet: Fleet) -> None:
    _print_line('\n== the time line of all processes')
    statement = 'import sys; from briarrill.timeline.main import main; main()'
    command = [sys.executable, '-c', statement]
    subprocess.run([*command, *fleet.logs], check=True)
    page = f'--html={fleet.folder / "time-line.html"}'
    subprocess.run([*command, page, *fleet.logs], check=True)


def _run_demo(fleet: Fleet) -> None:
    _print_line('== the fleet')
    _print_line(fleet.run_ctl('status').rstrip())
    headers = {'Authorization': f'Bearer {API_KEY}'}
    with httpx.Client(
        base_url=fleet.entry_url(0), headers=headers, timeout=JOB_TIMEOUT_S
    ) as client:
        _stream_completion(client)
        _call_service(client)
        _run_batch_job(client)


def _keep_running(fleet: Fleet) -> None:
    _print_line(fleet.run_ctl('status').rstrip())
    _print_line(f'callers: {fleet.entry_url(0)}, API key: {API_KEY}')
    _print_line('stop with ctrl-c')
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        signal.pause()
    except KeyboardInterrupt:
        _print_line('stopping')


def main() -> int:
    """Run the demonstration; return the highest exit code, 0 for success."""
    arguments: dict[str, Any] = docopt(__doc__)
    folder = pathlib.Path(arguments['--folder']).resolve()
    shutil.rmtree(folder, ignore_errors=True)
    folder.mkdir(parents=True)
    plan = FleetPlan(first_entry_http_host='127.0.0.1')
    configuration = str(EXAMPLES / 'configuration.toml')
    with open_fleet(plan, folder, configuration) as fleet:
        if arguments['fleet']:
            _keep_running(fleet)
        else:
            _run_demo(fleet)
    if not arguments['fleet']:
        _show_timeline(fleet)
    codes = fleet.exit_codes()
    _print_line(f'\nexit codes: {codes}')
    return max(codes.values())


if __name__ == '__main__':
    sys.exit(main())
